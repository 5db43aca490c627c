//! The event table below the diagram.

use crate::{
    FleetTimeline,
    PlacedEvent,
    page::text_escape::escape_html,
    utc_time::clock_text, //
};

/// Formats all events as a table, one row per event.
pub(crate) fn table(timeline: &FleetTimeline) -> String {
    let start = timeline.start().wall_ms();
    let rows: Vec<String> = timeline
        .events
        .iter()
        .map(|placed| row(timeline, placed, start))
        .collect();
    format!(
        "<table>\n<tr><th>time</th><th>ms</th><th>node</th><th>event</th></tr>\n{}\n</table>\n",
        rows.join("\n")
    )
}

/// Formats one row; `start` is the wall-clock time of the first event, in milliseconds since 1970.
fn row(timeline: &FleetTimeline, placed: &PlacedEvent, start: u64) -> String {
    let node = escape_html(&timeline.lanes[placed.lane].node);
    let event = escape_html(&placed.event.to_string());
    let wall = placed.event.stamp.wall_ms();
    let class = if placed.event.kind.is_alarming() {
        "alarm"
    } else {
        "plain"
    };
    format!(
        "<tr class=\"{class}\" data-text=\"{node} {event}\"><td>{}</td>\
         <td class=\"number\">{}</td><td>{node}</td><td>{event}</td></tr>",
        clock_text(wall),
        wall - start
    )
}
