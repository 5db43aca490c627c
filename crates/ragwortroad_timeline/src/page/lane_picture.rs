//! The diagram: a lane for each node, a point for each event, bars for leadership and downtime, and
//! a line along the path of each request.

use std::collections::BTreeMap;

use ragwortroad_types::prelude::*;

use crate::{
    EventKind,
    FleetTimeline,
    page::{
        picture_scale::PictureScale,
        text_escape::escape_html, //
    }, //
};

/// Width of the node names to the left of the lanes, in pixels.
const LABEL_WIDTH: f64 = 170.0;
/// Height of the time axis above the lanes, in pixels.
const AXIS_HEIGHT: f64 = 34.0;
/// Height of a lane, in pixels.
const LANE_HEIGHT: f64 = 30.0;
/// Maximum number of request paths drawn; more would hide each other.
const MAX_PATHS: usize = 40;
/// Minimum distance between two labels of the time axis, in pixels.
const MIN_AXIS_STEP: f64 = 110.0;

/// Draws `timeline` as an SVG diagram.
pub(crate) fn picture(timeline: &FleetTimeline) -> String {
    let scale = PictureScale::new(timeline, LABEL_WIDTH + 12.0);
    let height = AXIS_HEIGHT + LANE_HEIGHT * timeline.lanes.len() as f64 + 8.0;
    let mut parts = Vec::new();
    parts.extend(bars(timeline, &scale));
    parts.extend(lanes(timeline, &scale));
    parts.extend(axis(timeline, &scale));
    parts.extend(paths(timeline, &scale));
    parts.extend(points(timeline, &scale));
    format!(
        "<div class=\"picture\"><svg width=\"{:.0}\" height=\"{height:.0}\">\n{}\n</svg></div>\n",
        scale.width,
        parts.join("\n")
    )
}

/// Returns the vertical position of a lane's center line.
fn lane_center(lane: usize) -> f64 {
    AXIS_HEIGHT + LANE_HEIGHT * (lane as f64 + 0.5)
}

/// Draws the center lines and the node names.
fn lanes(timeline: &FleetTimeline, scale: &PictureScale) -> Vec<String> {
    let mut parts = Vec::new();
    for (index, lane) in timeline.lanes.iter().enumerate() {
        let height = lane_center(index);
        parts.push(format!(
            "<line class=\"lane\" x1=\"{LABEL_WIDTH}\" x2=\"{:.0}\" y1=\"{height}\" y2=\"{height}\"/>",
            scale.width
        ));
        parts.push(format!(
            "<text x=\"6\" y=\"{:.0}\">{} ({})</text>",
            height + 4.0,
            escape_html(&lane.node),
            escape_html(&lane.zone)
        ));
    }
    parts
}

/// Draws the time labels and marks where long intervals without events are shortened.
fn axis(timeline: &FleetTimeline, scale: &PictureScale) -> Vec<String> {
    let start = timeline.start().wall_ms();
    let bottom = AXIS_HEIGHT + LANE_HEIGHT * timeline.lanes.len() as f64;
    let mut parts = Vec::new();
    let mut last = f64::MIN;
    for (placed, place) in timeline.events.iter().zip(&scale.positions) {
        if place - last < MIN_AXIS_STEP {
            continue;
        }
        last = *place;
        let since = placed.event.stamp.wall_ms() - start;
        parts.push(format!(
            "<text class=\"axis\" x=\"{place:.0}\" y=\"14\">{since} ms</text>"
        ));
    }
    for (place, span) in &scale.cuts {
        parts.push(format!(
            "<line class=\"cut\" x1=\"{place:.0}\" x2=\"{place:.0}\" y1=\"{AXIS_HEIGHT}\" y2=\"{bottom}\"/>\
             <text class=\"axis\" x=\"{:.0}\" y=\"29\">cut {span} ms</text>",
            place - 30.0
        ));
    }
    parts
}

/// Draws bars for the times in which a node considers itself leader or is considered failed.
fn bars(timeline: &FleetTimeline, scale: &PictureScale) -> Vec<String> {
    let mut leads: BTreeMap<usize, f64> = BTreeMap::new();
    let mut downs: BTreeMap<usize, f64> = BTreeMap::new();
    let mut parts = Vec::new();
    for (placed, place) in timeline.events.iter().zip(&scale.positions) {
        let subject_lane = placed.event.who.as_ref();
        let subject_lane =
            subject_lane.and_then(|who| timeline.lanes.iter().position(|lane| lane.node == *who));
        match (placed.event.kind, subject_lane) {
            (EventKind::LeaderElected, _) => {
                leads.entry(placed.lane).or_insert(*place);
            }
            (EventKind::LeaderDeposed | EventKind::ProcessStopping, _) => {
                let start = leads.remove(&placed.lane);
                parts.extend(start.map(|start| bar("leads", placed.lane, start, *place)));
            }
            (EventKind::NodeDown, Some(lane)) => {
                downs.entry(lane).or_insert(*place);
            }
            (EventKind::NodeUp, Some(lane)) => {
                let start = downs.remove(&lane);
                parts.extend(start.map(|start| bar("down", lane, start, *place)));
            }
            _ => {}
        }
    }
    let open = |class: &'static str, bars: BTreeMap<usize, f64>| {
        let end = scale.width - 20.0;
        bars.into_iter()
            .map(move |(lane, start)| bar(class, lane, start, end))
    };
    parts.extend(open("leads", leads));
    parts.extend(open("down", downs));
    parts
}

fn bar(class: &str, lane: usize, start: f64, end: f64) -> String {
    format!(
        "<rect class=\"{class}\" x=\"{start:.0}\" y=\"{:.0}\" width=\"{:.0}\" height=\"{:.0}\"/>",
        AXIS_HEIGHT + LANE_HEIGHT * lane as f64 + 4.0,
        (end - start).max(4.0),
        LANE_HEIGHT - 8.0
    )
}

/// Draws a line through the events of each request that has several events. Above [`MAX_PATHS`]
/// requests, only the first [`MAX_PATHS`] of those that were on several nodes are drawn.
fn paths(timeline: &FleetTimeline, scale: &PictureScale) -> Vec<String> {
    let mut requests: BTreeMap<RequestId, Vec<(f64, usize)>> = BTreeMap::new();
    for (placed, place) in timeline.events.iter().zip(&scale.positions) {
        if let Some(request) = placed.event.request {
            let path = requests.entry(request).or_default();
            path.push((*place, placed.lane));
        }
    }
    requests.retain(|_, path| path.len() > 1);
    if requests.len() > MAX_PATHS {
        requests.retain(|_, path| path.iter().any(|step| step.1 != path[0].1));
    }
    requests
        .into_iter()
        .take(MAX_PATHS)
        .map(|(request, path)| {
            let steps: Vec<String> = path
                .iter()
                .map(|(place, lane)| format!("{place:.0},{:.0}", lane_center(*lane)))
                .collect();
            format!(
                "<polyline class=\"path\" data-text=\"request={request}\" points=\"{}\"/>",
                steps.join(" ")
            )
        })
        .collect()
}

/// Draws a point for each event, with the event's text as tooltip.
fn points(timeline: &FleetTimeline, scale: &PictureScale) -> Vec<String> {
    timeline
        .events
        .iter()
        .zip(&scale.positions)
        .map(|(placed, place)| {
            let node = escape_html(&timeline.lanes[placed.lane].node);
            let text = escape_html(&placed.event.to_string());
            format!(
                "<circle class=\"{}\" data-text=\"{node} {text}\" cx=\"{place:.0}\" \
                 cy=\"{:.0}\" r=\"5\"><title>{} {node}: {text}</title></circle>",
                color_class(placed.event.kind),
                lane_center(placed.lane),
                placed.event.stamp
            )
        })
        .collect()
}

/// Returns the CSS class that sets the color of an event.
fn color_class(kind: EventKind) -> &'static str {
    if kind.is_alarming() {
        return "alarm";
    }
    match kind {
        EventKind::ElectionStarted
        | EventKind::LeaderElected
        | EventKind::LeaderDeposed
        | EventKind::LeaseGranted
        | EventKind::LeaseEnded
        | EventKind::MembersChanged => "leader",
        EventKind::ChangeAccepted
        | EventKind::ChangeRefused
        | EventKind::ChangeInForce
        | EventKind::CurrencyLost
        | EventKind::CurrencyRegained => "change",
        EventKind::OrderSent
        | EventKind::OrderAnswered
        | EventKind::DrainStarted
        | EventKind::DrainFinished => "order",
        _ if kind.is_traffic() => "traffic",
        _ => "fleet",
    }
}
