use std::cell::Cell;

use ragwortroad_timeline::prelude::*;

use ragwortroad_clock::prelude::*;

/// This node's recent events, and the hybrid clock that stamps events and messages.
#[derive(Debug)]
pub(crate) struct EventLog {
    ring: EventRing,
    /// A cell, because messages are stamped through a shared reference.
    stamps: Cell<HybridClock>,
    clock: RealClock,
}

/// Length of the timestamp at the head of each message between nodes.
const STAMP_BYTES: usize = 8;

/// Maximum number of events in one timeline response.
const MAX_PAGE_EVENTS: usize = 20_000;

impl EventLog {
    pub(crate) fn new(clock: RealClock) -> Self {
        Self {
            ring: EventRing::new(RingSettings::default()),
            stamps: Cell::default(),
            clock,
        }
    }

    /// Records an event, stamped with the current time.
    pub(crate) fn record(&mut self, event: FleetEvent) {
        let stamp = self.stamp();
        self.ring.record(FleetEvent { stamp, ..event });
    }

    /// Prepends a timestamp to a message.
    pub(crate) fn add_stamp(&self, bytes: &[u8]) -> Vec<u8> {
        let mut stamped = Vec::with_capacity(STAMP_BYTES + bytes.len());
        stamped.extend_from_slice(&self.stamp().0.to_le_bytes());
        stamped.extend_from_slice(bytes);
        stamped
    }

    /// Advances the clock by a message's timestamp and returns the rest; `None` if the message is
    /// too short to hold one.
    pub(crate) fn strip_stamp(&self, stamped: &[u8]) -> Option<Vec<u8>> {
        let (stamp, bytes) = stamped.split_at_checked(STAMP_BYTES)?;
        let stamp = u64::from_le_bytes(stamp.try_into().ok()?);
        let mut stamps = self.stamps.get();
        stamps.observe(HybridTime(stamp), self.clock.wall_ms());
        self.stamps.set(stamps);
        Some(bytes.to_vec())
    }

    /// Returns the events that pass `filter`, as this node's part of a timeline.
    pub(crate) fn gather(&self, node: &str, zone: &str, filter: &EventFilter) -> NodeTimeline {
        self.ring.query(node, zone, filter, MAX_PAGE_EVENTS)
    }

    fn stamp(&self) -> HybridTime {
        let mut stamps = self.stamps.get();
        let stamp = stamps.now(self.clock.wall_ms());
        self.stamps.set(stamps);
        stamp
    }
}
