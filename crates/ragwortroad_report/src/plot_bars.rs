use plotters::prelude::*;

use crate::ReportError;

/// Width of a plot, in pixels.
const WIDTH: u32 = 900;
/// Height of a plot without its rows, in pixels.
const TITLE_HEIGHT: u32 = 70;
/// Height of a bar and the gap below it, in pixels.
const ROW_HEIGHT: u32 = 22;
/// Width of the labels to the left of the bars, in pixels.
const LABEL_WIDTH: i32 = 330;
/// Width of the values to the right of the longest bar, in pixels.
const VALUE_WIDTH: i32 = 110;

/// A bar of a plot.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PlotBar {
    /// Text to the left of the bar.
    pub(crate) label: String,
    /// Value that determines the bar's length, in the unit of the plot.
    pub(crate) value: f64,
}

/// Draws horizontal bars below a title, as one SVG element.
///
/// Every bar has its label and value beside it, so that names of any length and latencies of any
/// magnitude are readable without a legend.
pub(crate) fn plot_bars(title: &str, unit: &str, bars: &[PlotBar]) -> Result<String, ReportError> {
    let mut svg = String::new();
    let height = TITLE_HEIGHT + ROW_HEIGHT * bars.len() as u32;
    let result = draw_bars(&mut svg, (WIDTH, height), title, unit, bars);
    result.map_err(|error| ReportError::PlotFailed {
        title: title.to_owned(),
        reason: error.to_string(),
    })?;
    Ok(svg)
}

fn draw_bars(
    svg: &mut String,
    size: (u32, u32),
    title: &str,
    unit: &str,
    bars: &[PlotBar],
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(svg, size).into_drawing_area();
    area.fill(&WHITE)?;
    let heading = format!("{title} ({unit})");
    let font = ("sans-serif", 18).into_font();
    area.draw(&Text::new(heading, (10, 14), font))?;
    let max_value = bars.iter().map(|bar| bar.value).fold(0.0, f64::max);
    let plot_width = f64::from(WIDTH as i32 - LABEL_WIDTH - VALUE_WIDTH);
    for (row, bar) in bars.iter().enumerate() {
        let top = (TITLE_HEIGHT - ROW_HEIGHT) as i32 + row as i32 * ROW_HEIGHT as i32;
        let share = if max_value > 0.0 {
            bar.value / max_value
        } else {
            0.0
        };
        let end = LABEL_WIDTH + (plot_width * share).round() as i32;
        let corners = [
            (LABEL_WIDTH, top),
            (end.max(LABEL_WIDTH + 1), top + ROW_HEIGHT as i32 - 6),
        ];
        let color = Palette99::pick(row / 3 % 8).filled();
        area.draw(&Rectangle::new(corners, color))?;
        let font = ("sans-serif", 13).into_font();
        area.draw(&Text::new(bar.label.clone(), (10, top + 2), font.clone()))?;
        area.draw(&Text::new(
            format_value(bar.value),
            (end + 6, top + 2),
            font,
        ))?;
    }
    area.present()?;
    Ok(())
}

/// Formats a value with enough digits to distinguish it from similar values.
fn format_value(value: f64) -> String {
    match value {
        value if value >= 100.0 => format!("{value:.0}"),
        value if value >= 10.0 => format!("{value:.1}"),
        value => format!("{value:.3}"),
    }
}
