use std::collections::VecDeque;

use crate::{
    EventFilter,
    FleetEvent,
    NodeTimeline, //
};

/// How many events a node keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RingSettings {
    /// Events of requests, chats and claims.
    pub max_traffic_events: usize,
    /// All other events.
    pub max_control_events: usize,
}

impl Default for RingSettings {
    fn default() -> Self {
        Self {
            max_traffic_events: 16_384,
            max_control_events: 4_096,
        }
    }
}

/// The last events of one node.
///
/// Events that come with every request are kept apart from all others: otherwise a busy minute
/// would push out the failover that it followed.
#[derive(Debug)]
pub struct EventRing {
    /// Limits.
    settings: RingSettings,
    /// Events of requests, oldest first.
    traffic: VecDeque<FleetEvent>,
    /// All others, oldest first.
    control: VecDeque<FleetEvent>,
    /// Number of the last event.
    sequence: u64,
    /// Events of requests pushed out.
    lost_traffic: u64,
    /// Others pushed out.
    lost_control: u64,
}

impl EventRing {
    /// An empty ring.
    pub fn new(settings: RingSettings) -> Self {
        Self {
            settings,
            traffic: VecDeque::new(),
            control: VecDeque::new(),
            sequence: 0,
            lost_traffic: 0,
            lost_control: 0,
        }
    }

    /// Keeps `event`, numbered; the oldest one makes room and is counted.
    pub fn record(&mut self, event: FleetEvent) {
        self.sequence += 1;
        let event = FleetEvent {
            sequence: self.sequence,
            ..event
        };
        let (queue, most, lost) = if event.kind.is_traffic() {
            let most = self.settings.max_traffic_events;
            (&mut self.traffic, most, &mut self.lost_traffic)
        } else {
            let most = self.settings.max_control_events;
            (&mut self.control, most, &mut self.lost_control)
        };
        if most == 0 {
            *lost += 1;
            return;
        }
        if queue.len() >= most {
            queue.pop_front();
            *lost += 1;
        }
        queue.push_back(event);
    }

    /// Events pushed out so far.
    pub fn lost(&self) -> u64 {
        self.lost_traffic + self.lost_control
    }

    /// Events kept now.
    pub fn len(&self) -> usize {
        self.traffic.len() + self.control.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The newest `most` events that pass `filter`, as this node's part of a time line.
    pub fn query(&self, node: &str, zone: &str, filter: &EventFilter, most: usize) -> NodeTimeline {
        let mut events: Vec<FleetEvent> = self
            .traffic
            .iter()
            .chain(&self.control)
            .filter(|event| filter.matches(event))
            .cloned()
            .collect();
        events.sort_unstable_by_key(|event| event.sequence);
        let left_out = events.len().saturating_sub(most);
        events.drain(..left_out);
        NodeTimeline {
            node: node.to_owned(),
            zone: zone.to_owned(),
            events,
            lost_traffic: self.lost_traffic,
            lost_control: self.lost_control,
            left_out: left_out as u64,
        }
    }
}
