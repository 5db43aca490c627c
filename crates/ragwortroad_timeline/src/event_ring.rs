use std::collections::VecDeque;

use crate::{
    EventFilter,
    FleetEvent,
    NodeTimeline, //
};

/// Capacity of an [`EventRing`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RingSettings {
    /// Maximum number of stored events of requests, chats and claims.
    pub max_traffic_events: usize,
    /// Maximum number of stored events of all other kinds.
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

/// The most recent events of one node.
///
/// Events that occur with every request are stored apart from all others: otherwise a minute of
/// heavy traffic would evict the events of the failover that preceded it.
#[derive(Debug)]
pub struct EventRing {
    settings: RingSettings,
    /// Events of requests, chats and claims, oldest first.
    traffic: VecDeque<FleetEvent>,
    /// All other events, oldest first.
    control: VecDeque<FleetEvent>,
    /// Number of the last recorded event; 0 before the first.
    sequence: u64,
    /// Number of evicted events of requests, chats and claims.
    lost_traffic: u64,
    /// Number of other events evicted.
    lost_control: u64,
}

impl EventRing {
    /// Creates an empty ring.
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

    /// Numbers and stores `event`; a full ring evicts and counts the oldest event.
    pub fn record(&mut self, event: FleetEvent) {
        self.sequence += 1;
        let event = FleetEvent {
            sequence: self.sequence,
            ..event
        };
        let (queue, capacity, lost) = if event.kind.is_traffic() {
            let capacity = self.settings.max_traffic_events;
            (&mut self.traffic, capacity, &mut self.lost_traffic)
        } else {
            let capacity = self.settings.max_control_events;
            (&mut self.control, capacity, &mut self.lost_control)
        };
        if capacity == 0 {
            *lost += 1;
            return;
        }
        if queue.len() >= capacity {
            queue.pop_front();
            *lost += 1;
        }
        queue.push_back(event);
    }

    /// Returns the number of events evicted so far.
    pub fn lost(&self) -> u64 {
        self.lost_traffic + self.lost_control
    }

    /// Returns the number of stored events.
    pub fn len(&self) -> usize {
        self.traffic.len() + self.control.len()
    }

    /// Returns whether no event is stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the newest `limit` events that match `filter`, as this node's part of a timeline.
    pub fn query(
        &self,
        node: &str,
        zone: &str,
        filter: &EventFilter,
        limit: usize,
    ) -> NodeTimeline {
        let mut events: Vec<FleetEvent> = self
            .traffic
            .iter()
            .chain(&self.control)
            .filter(|event| filter.matches(event))
            .cloned()
            .collect();
        events.sort_unstable_by_key(|event| event.sequence);
        let left_out = events.len().saturating_sub(limit);
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
