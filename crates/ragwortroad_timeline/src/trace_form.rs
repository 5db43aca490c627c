//! The trace form, in the trace-event format that common trace viewers read.

use std::collections::BTreeMap;

use ragwortroad_types::prelude::*;
use serde_json::{
    Value,
    json, //
};

use crate::{
    EventKind,
    FleetTimeline,
    PlacedEvent, //
};

/// Microseconds per millisecond; the format counts in microseconds.
const MICROS_PER_MS: u64 = 1000;
/// Thread id under which control events of a node appear.
const CONTROL_THREAD: u32 = 1;
/// Thread id under which events of requests appear.
const TRAFFIC_THREAD: u32 = 2;

/// Formats the timeline as a trace: one process per node with a thread each for control events and
/// requests, a span for each request on each node, and flow arrows between the nodes of a request.
pub(crate) fn trace(timeline: &FleetTimeline) -> String {
    let mut entries = Vec::new();
    for (lane, node) in timeline.lanes.iter().enumerate() {
        entries.push(json!({"ph": "M", "name": "process_name", "pid": lane,
            "args": {"name": format!("{} ({})", node.node, node.zone)}}));
        for (thread, name) in [(CONTROL_THREAD, "control"), (TRAFFIC_THREAD, "requests")] {
            entries.push(
                json!({"ph": "M", "name": "thread_name", "pid": lane, "tid": thread,
                "args": {"name": name}}),
            );
        }
    }
    entries.extend(timeline.events.iter().map(instant_event));
    for events in group_by_request(timeline).values() {
        entries.extend(request_spans(events));
        entries.extend(flow_arrows(events));
    }
    let gaps = timeline.gaps();
    let trace = json!({"traceEvents": entries, "otherData": {"missing": gaps}});
    serde_json::to_string_pretty(&trace).unwrap_or_default()
}

/// Groups events by request; events without a request are left out.
fn group_by_request(timeline: &FleetTimeline) -> BTreeMap<RequestId, Vec<&PlacedEvent>> {
    let mut requests: BTreeMap<RequestId, Vec<&PlacedEvent>> = BTreeMap::new();
    for placed in &timeline.events {
        if let Some(request) = placed.event.request {
            requests.entry(request).or_default().push(placed);
        }
    }
    requests
}

/// Formats an event as an instant event.
fn instant_event(placed: &PlacedEvent) -> Value {
    json!({"ph": "i", "s": "t", "name": placed.event.kind.name(), "cat": "event",
        "ts": timestamp_us(placed), "pid": placed.lane, "tid": thread_id(placed.event.kind),
        "args": &placed.event})
}

/// Returns, for each node that handled a request, a span from the first to the last event there.
fn request_spans(events: &[&PlacedEvent]) -> Vec<Value> {
    let mut lanes: BTreeMap<usize, (&PlacedEvent, &PlacedEvent)> = BTreeMap::new();
    for placed in events {
        lanes
            .entry(placed.lane)
            .and_modify(|(_, last)| *last = placed)
            .or_insert((placed, placed));
    }
    let mut spans = Vec::new();
    for (lane, (first, last)) in lanes {
        let id = request_id_text(first);
        for (phase, placed) in [("b", first), ("e", last)] {
            spans.push(
                json!({"ph": phase, "name": format!("request {id}"), "cat": "request",
                "id": format!("{id}-{lane}"), "ts": timestamp_us(placed), "pid": lane,
                "tid": TRAFFIC_THREAD}),
            );
        }
    }
    spans
}

/// Returns a flow arrow wherever a request moves from one node to another.
fn flow_arrows(events: &[&PlacedEvent]) -> Vec<Value> {
    let mut arrows = Vec::new();
    for (step, pair) in events.windows(2).enumerate() {
        if pair[0].lane == pair[1].lane {
            continue;
        }
        let id = format!("{}-{step}", request_id_text(pair[0]));
        for (phase, placed) in [("s", pair[0]), ("f", pair[1])] {
            arrows.push(
                json!({"ph": phase, "bp": "e", "name": "path", "cat": "path", "id": id,
                "ts": timestamp_us(placed), "pid": placed.lane, "tid": thread_id(placed.event.kind)}),
            );
        }
    }
    arrows
}

fn request_id_text(placed: &PlacedEvent) -> String {
    placed
        .event
        .request
        .map(|request| request.to_string())
        .unwrap_or_default()
}

/// Returns the event's time in microseconds; the clock's counter keeps the order within a
/// millisecond.
fn timestamp_us(placed: &PlacedEvent) -> u64 {
    let stamp = placed.event.stamp;
    stamp.wall_ms() * MICROS_PER_MS + u64::from(stamp.counter()).min(MICROS_PER_MS - 1)
}

/// Returns the thread under which events of `kind` appear.
fn thread_id(kind: EventKind) -> u32 {
    if kind.is_traffic() {
        TRAFFIC_THREAD
    } else {
        CONTROL_THREAD
    }
}
