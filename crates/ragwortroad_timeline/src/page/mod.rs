//! The HTML form: a self-contained page that loads no other resource.

mod event_rows;
mod lane_picture;
mod picture_scale;
mod text_escape;

use crate::{
    FleetTimeline,
    utc_time::utc_text, //
};

use text_escape::escape_html;

const STYLE_SHEET: &str = include_str!("page.css");
/// Filters rows and points by the text in the search field.
const SCRIPT: &str = include_str!("page.js");

/// Formats the timeline as an HTML page.
pub(crate) fn html(timeline: &FleetTimeline) -> String {
    let start = utc_text(timeline.start().wall_ms());
    let (events, nodes) = (timeline.events.len(), timeline.lanes.len());
    let summary = format!("{events} events of {nodes} nodes from {start}");
    format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n\
         <title>Time line</title>\n<style>\n{STYLE_SHEET}</style></head>\n<body>\n\
         <h1>Time line</h1>\n<p>{summary}</p>\n{}{}{}\
         <p><label>Show only <input id=\"only\" size=\"40\" placeholder=\"request, endpoint, \
         kind, node\"></label></p>\n{}<script>\n{SCRIPT}</script>\n</body></html>\n",
        gaps(timeline),
        legend(),
        lane_picture::picture(timeline),
        event_rows::table(timeline),
    )
}

/// Formats the list of missing events, which stands at the top of the page.
fn gaps(timeline: &FleetTimeline) -> String {
    let gaps = timeline.gaps();
    if gaps.is_empty() {
        return "<p class=\"whole\">Every node answered; no event was lost.</p>\n".to_owned();
    }
    let items: Vec<String> = gaps
        .iter()
        .map(|gap| format!("<li>{}</li>", escape_html(gap)))
        .collect();
    format!("<ul class=\"gaps\">{}</ul>\n", items.join(""))
}

/// Formats the legend of the diagram's colors.
fn legend() -> String {
    let entries = [
        ("alarm", "trouble"),
        ("leader", "leader and lease"),
        ("change", "configuration"),
        ("fleet", "nodes and endpoints"),
        ("order", "orders and drains"),
        ("traffic", "requests and claims"),
    ];
    let dots: Vec<String> = entries
        .iter()
        .map(|(class, text)| {
            format!(
                "<svg width=\"12\" height=\"12\"><circle class=\"{class}\" cx=\"6\" cy=\"6\" \
                 r=\"5\"/></svg> {text}"
            )
        })
        .collect();
    format!(
        "<p class=\"legend\">{} &nbsp; <span class=\"leads\">leads</span> \
         <span class=\"down\">taken for down</span></p>\n",
        dots.join(" &nbsp; ")
    )
}
