use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    FleetEvent,
    HybridTime,
    NodeTimeline, //
};

/// A node that did not deliver its events.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct UnreachableNode {
    /// Name of the node.
    pub node: String,
    /// Reason for operators, such as a timeout.
    pub reason: String,
}

/// A node that delivered its events.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct TimelineLane {
    /// Name of the node.
    pub node: String,
    /// Failure domain (zone) of the node.
    pub zone: String,
    /// Events that the node's ring evicted since the node started.
    pub lost: u64,
    /// Older events that were left out because more events matched the filter than the limit
    /// allows.
    pub left_out: u64,
}

/// An event together with the lane of its node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct PlacedEvent {
    /// Index into [`FleetTimeline::lanes`].
    pub lane: usize,
    /// The event as its node recorded it.
    #[serde(flatten)]
    pub event: FleetEvent,
}

/// The events of many nodes, merged in causal order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct FleetTimeline {
    /// The nodes that delivered events, sorted by zone and name.
    pub lanes: Vec<TimelineLane>,
    /// The nodes whose events are missing, sorted by name.
    pub unreachable: Vec<UnreachableNode>,
    /// The events of all lanes.
    ///
    /// Invariant: sorted by timestamp, so that causes come before effects. Of two events with equal
    /// timestamps neither can have caused the other; they are sorted by lane and sequence.
    pub events: Vec<PlacedEvent>,
}

impl FleetTimeline {
    /// Merges the parts of the nodes that responded; of several parts of one node the last is used.
    pub fn merge(parts: Vec<NodeTimeline>, mut unreachable: Vec<UnreachableNode>) -> Self {
        let parts: BTreeMap<(String, String), NodeTimeline> = parts
            .into_iter()
            .map(|part| ((part.zone.clone(), part.node.clone()), part))
            .collect();
        let mut lanes = Vec::with_capacity(parts.len());
        let mut events = Vec::new();
        for (lane, part) in parts.into_values().enumerate() {
            lanes.push(TimelineLane {
                node: part.node,
                zone: part.zone,
                lost: part.lost_traffic + part.lost_control,
                left_out: part.left_out,
            });
            let placed = |event| PlacedEvent { lane, event };
            events.extend(part.events.into_iter().map(placed));
        }
        events.sort_by_key(|placed| (placed.event.stamp, placed.lane, placed.event.sequence));
        unreachable.sort_by(|left, right| left.node.cmp(&right.node));
        Self {
            lanes,
            unreachable,
            events,
        }
    }

    /// Returns the timestamp of the first event, or zero if there are no events.
    pub(crate) fn start(&self) -> HybridTime {
        self.events
            .first()
            .map_or(HybridTime::default(), |placed| placed.event.stamp)
    }

    /// Describes which events are known to be missing, one message for each gap.
    pub fn gaps(&self) -> Vec<String> {
        let mut gaps = Vec::new();
        for node in &self.unreachable {
            gaps.push(format!(
                "{} could not be reached: {}",
                node.node, node.reason
            ));
        }
        for lane in &self.lanes {
            if lane.lost > 0 {
                let (node, lost) = (&lane.node, lane.lost);
                gaps.push(format!("{node} lost {lost} older events to its ring"));
            }
            if lane.left_out > 0 {
                let (node, count) = (&lane.node, lane.left_out);
                gaps.push(format!(
                    "{node} left out {count} older events: narrow the filter"
                ));
            }
        }
        gaps
    }
}
