use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    FleetEvent,
    HybridTime,
    NodeTimeline, //
};

/// A node whose events are missing.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct UnreachableNode {
    /// Its name.
    pub node: String,
    /// Why, for a person.
    pub reason: String,
}

/// A node whose events are there.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct TimelineLane {
    /// Its name.
    pub node: String,
    /// Its failure domain (zone).
    pub zone: String,
    /// Events that its ring pushed out since it started.
    pub lost: u64,
    /// Older events that were left out because too many passed the filter.
    pub left_out: u64,
}

/// An event and the lane it stands in.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct PlacedEvent {
    /// Index into [`FleetTimeline::lanes`].
    pub lane: usize,
    /// The event.
    #[serde(flatten)]
    pub event: FleetEvent,
}

/// The events of many nodes in one order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct FleetTimeline {
    /// The nodes, by zone and name.
    pub lanes: Vec<TimelineLane>,
    /// Nodes whose events are missing, by name.
    pub unreachable: Vec<UnreachableNode>,
    /// All events.
    ///
    /// Invariant: ordered by stamp, so that causes come before effects; where stamps are equal
    /// neither event can have caused the other, and lane and sequence decide.
    pub events: Vec<PlacedEvent>,
}

impl FleetTimeline {
    /// Merges the parts of the nodes that answered; a node that answered twice counts once.
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

    /// The stamp of the first event.
    pub(crate) fn start(&self) -> HybridTime {
        self.events
            .first()
            .map_or(HybridTime::default(), |placed| placed.event.stamp)
    }

    /// What is known to be missing, one sentence each.
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
