//! Tests pages from small measurement files, and the errors for other files.

use ragwortroad_report::prelude::*;

const LOAD: &str = r#"{"seed": 1, "seconds": 6.0, "cache_reuse": 0.8,
    "outcomes": [{"kind": "booking", "end": "answered", "count": 47}],
    "first_token": {"count": 47, "p50_us": 7695, "p95_us": 27615, "p99_us": 508415}}"#;

const BENCH: &str = r#"{"seed": 7, "workload": "ljosmynd", "disturbances": "churn", "policies":
    [{"policy": "round<robin", "reuse": 0.36, "skew_p50": 1.53, "skew_p99": 1.86, "slot_bytes": 1.0,
      "limit_bytes": 2.0, "digest_bytes": 3.0, "first_token_p95_ms": 410}]}"#;

#[test]
fn a_page_has_all_plots_and_no_external_references() {
    let demo = format!(
        r#"{{"nodes": 3, "skew": 1.4, "control_bytes_per_second": 9000.0, "load": {LOAD}}}"#
    );
    let inputs = [
        ("load.json", LOAD),
        ("demo.json", &demo),
        ("bench.json", BENCH),
    ];
    let measurements = inputs.map(|(name, text)| Measurement::from_json(name, text).unwrap());
    let page = report_page(&measurements).unwrap();
    assert_eq!(page.matches("<svg").count(), 2 + 2 + 5);
    for part in [
        "Outcomes",
        "Latency",
        "Cache reuse",
        "Skew p99",
        "Control traffic",
    ] {
        assert!(page.contains(part), "the plot {part} is missing");
    }
    // The plotted values, in the units of the plots.
    for figure in ["508", "1.860", "6.000", "0.360", "47.0"] {
        assert!(page.contains(figure), "the value {figure} is missing");
    }
    assert!(!page.contains("round<robin"), "a name is not escaped");
    let outside = page.replace("http://www.w3.org/2000/svg", "");
    for reference in ["http:", "https:", "src=", "href=", "@import", "url("] {
        assert!(
            !outside.contains(reference),
            "the page contains {reference}"
        );
    }
}

/// Guards against a page without plots where a file is not a report.
#[test]
fn unknown_files_are_rejected_with_instructions() {
    let error = |text: &str| {
        Measurement::from_json("x.json", text)
            .unwrap_err()
            .to_string()
    };
    for (text, word) in [
        ("INFO serving", "is not JSON"),
        ("{\"rows\": []}", "neither 'policies' nor"),
        ("{\"policies\": [{}]}", "'ragwortroad bench --json'"),
        ("{\"outcomes\": 3}", "'ragwortroad load --json'"),
    ] {
        let error = error(text);
        assert!(error.contains(word) && error.contains("x.json"), "{error}");
        assert!(
            error.contains("--json"),
            "the error lacks instructions: {error}"
        );
    }
}
