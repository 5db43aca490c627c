use plotters::prelude::*;

use crate::ReportError;

/// Width of a plot in pixels.
const WIDTH: u32 = 900;
/// Height of a plot in pixels, without the rows.
const TITLE_HEIGHT: u32 = 70;
/// Height of one bar with its gap.
const ROW_HEIGHT: u32 = 22;
/// Where bars begin, behind their labels.
const LABEL_WIDTH: i32 = 330;
/// Room behind the longest bar for its figure.
const VALUE_WIDTH: i32 = 110;

/// One bar.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PlotBar {
    /// What it stands for.
    pub(crate) label: String,
    /// Its length.
    pub(crate) value: f64,
}

/// Horizontal bars under a title, as one SVG element.
///
/// The labels stand beside the bars, so that names of any length and logarithms of latencies alike
/// can be read without a legend.
pub(crate) fn plot_bars(title: &str, unit: &str, bars: &[PlotBar]) -> Result<String, ReportError> {
    let mut svg = String::new();
    let height = TITLE_HEIGHT + ROW_HEIGHT * bars.len() as u32;
    let drawn = draw(&mut svg, (WIDTH, height), title, unit, bars);
    drawn.map_err(|error| ReportError::PlotFailed {
        title: title.to_owned(),
        reason: error.to_string(),
    })?;
    Ok(svg)
}

fn draw(
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
    let most = bars.iter().map(|bar| bar.value).fold(0.0, f64::max);
    let room = f64::from(WIDTH as i32 - LABEL_WIDTH - VALUE_WIDTH);
    for (row, bar) in bars.iter().enumerate() {
        let top = (TITLE_HEIGHT - ROW_HEIGHT) as i32 + row as i32 * ROW_HEIGHT as i32;
        let share = if most > 0.0 { bar.value / most } else { 0.0 };
        let end = LABEL_WIDTH + (room * share).round() as i32;
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

/// A figure with as many digits as tell it from its neighbours.
fn format_value(value: f64) -> String {
    match value {
        value if value >= 100.0 => format!("{value:.0}"),
        value if value >= 10.0 => format!("{value:.1}"),
        value => format!("{value:.3}"),
    }
}
