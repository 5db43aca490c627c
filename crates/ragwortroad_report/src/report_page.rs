use crate::{
    BenchFigures,
    LatencyFigures,
    LoadFigures,
    Measurement,
    MeasurementKind,
    PolicyFigures,
    ReportError,
    plot_bars::{
        PlotBar,
        plot_bars, //
    }, //
};

const PAGE_HEADER: &str = "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
    <title>ragwortroad measurements</title><style>body{font-family:sans-serif;max-width:60em;\
    margin:2em auto}svg{display:block;margin:1em 0}</style></head><body>\n\
    <h1>ragwortroad measurements</h1>\n";

/// Formats the plots of all measurements as one self-contained HTML page.
///
/// # Errors
///
/// [`ReportError::PlotFailed`] if a plot cannot be drawn.
pub fn report_page(measurements: &[Measurement]) -> Result<String, ReportError> {
    let mut page = PAGE_HEADER.to_owned();
    for measurement in measurements {
        page.push_str(&format!("<h2>{}</h2>\n", escape_html(&measurement.name)));
        match &measurement.kind {
            MeasurementKind::Load(load) => add_load(&mut page, load)?,
            MeasurementKind::Demo(demo) => {
                let (skew, bytes) = (demo.skew, demo.control_bytes_per_second);
                page.push_str(&format!(
                    "<p>{} nodes, skew {skew:.2}, {bytes:.0} control bytes a second and node.</p>\n",
                    demo.nodes
                ));
                add_load(&mut page, &demo.load)?;
            }
            MeasurementKind::Bench(_) => {}
        }
    }
    let benches = measurements
        .iter()
        .filter_map(|measurement| match &measurement.kind {
            MeasurementKind::Bench(bench) => Some(bench),
            _ => None,
        });
    let benches: Vec<&BenchFigures> = benches.collect();
    if !benches.is_empty() {
        add_benches(&mut page, &benches)?;
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

fn add_load(page: &mut String, load: &LoadFigures) -> Result<(), ReportError> {
    let reuse = 100.0 * load.cache_reuse;
    page.push_str(&format!(
        "<p>Seed {}, {:.1} s, cache reuse of returning turns {reuse:.1} %.</p>\n",
        load.seed, load.seconds
    ));
    let outcomes = load.outcomes.iter().map(|outcome| PlotBar {
        label: format!("{} {}", outcome.kind, outcome.end),
        value: outcome.count as f64,
    });
    page.push_str(&plot_bars(
        "Outcomes",
        "calls",
        &outcomes.collect::<Vec<_>>(),
    )?);
    let latencies = [
        ("first token", load.first_token),
        ("token gap", load.token_gap),
        ("whole chat", load.whole_chat),
        ("service", load.service),
    ];
    let bars = latencies
        .iter()
        .flat_map(|(name, latency)| latency_bars(name, latency));
    page.push_str(&plot_bars("Latency", "ms", &bars.collect::<Vec<_>>())?);
    Ok(())
}

fn latency_bars(name: &str, latency: &LatencyFigures) -> [PlotBar; 3] {
    let percentiles = [
        ("p50", latency.p50_us),
        ("p95", latency.p95_us),
        ("p99", latency.p99_us),
    ];
    percentiles.map(|(percentile, value)| PlotBar {
        label: format!("{name} {percentile} (of {})", latency.count),
        value: value as f64 / 1000.0,
    })
}

/// Returns the value of a policy that a plot compares.
type PolicyValue = fn(&PolicyFigures) -> f64;

fn add_benches(page: &mut String, benches: &[&BenchFigures]) -> Result<(), ReportError> {
    page.push_str("<h2>Decisions by policy and disturbance</h2>\n");
    let plots: [(&str, &str, PolicyValue); 5] = [
        ("Cache reuse", "share of prefix tokens", |row| row.reuse),
        ("Skew p50", "peak over mean", |row| row.skew_p50),
        ("Skew p99", "peak over mean", |row| row.skew_p99),
        (
            "Control traffic",
            "bytes a second and node",
            PolicyFigures::control_bytes,
        ),
        ("First token p95", "ms", |row| row.first_token_p95_ms as f64),
    ];
    for (title, unit, value) in plots {
        let mut bars = Vec::new();
        for bench in benches {
            bars.extend(bench.policies.iter().map(|row| PlotBar {
                label: format!("{} {} {}", bench.workload, bench.disturbances, row.policy),
                value: value(row),
            }));
        }
        page.push_str(&plot_bars(title, unit, &bars)?);
    }
    Ok(())
}

fn escape_html(text: &str) -> String {
    let text = text.replace('&', "&amp;").replace('<', "&lt;");
    text.replace('>', "&gt;")
}
