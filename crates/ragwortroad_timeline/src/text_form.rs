//! The text form: one line per event.

use crate::{
    FleetTimeline,
    utc_time::{
        clock_text,
        utc_text, //
    }, //
};

/// Formats the timeline for a terminal.
pub(crate) fn text(timeline: &FleetTimeline) -> String {
    let mut lines = Vec::with_capacity(timeline.events.len() + 4);
    let start = timeline.start().wall_ms();
    lines.push(format!(
        "{} events of {} nodes from {}",
        timeline.events.len(),
        timeline.lanes.len(),
        utc_text(start)
    ));
    lines.extend(timeline.gaps().into_iter().map(|gap| format!("! {gap}")));
    let name_lengths = timeline.lanes.iter().map(|lane| lane.node.len());
    let width = name_lengths.max().unwrap_or(0);
    for placed in &timeline.events {
        let wall = placed.event.stamp.wall_ms();
        let since = wall - start;
        let node = &timeline.lanes[placed.lane].node;
        let marker = if placed.event.kind.is_alarming() {
            '!'
        } else {
            ' '
        };
        lines.push(format!(
            "{} {since:>8} ms {marker} {node:<width$}  {}",
            clock_text(wall),
            placed.event
        ));
    }
    lines.join("\n") + "\n"
}
