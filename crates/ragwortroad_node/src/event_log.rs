use std::cell::Cell;

use ragwortroad_timeline::prelude::*;

use ragwortroad_clock::prelude::*;

/// This node's events, and the clock that stamps them and every message.
#[derive(Debug)]
pub(crate) struct EventLog {
    ring: EventRing,
    /// In a cell, since messages are stamped where nothing else changes.
    stamps: Cell<HybridClock>,
    clock: RealClock,
}

/// Bytes of a stamp at the head of each message between nodes.
const STAMP_BYTES: usize = 8;

/// Events in one answer.
const MOST_EVENTS: usize = 20_000;

impl EventLog {
    /// An empty log.
    pub(crate) fn new(clock: RealClock) -> Self {
        Self {
            ring: EventRing::new(RingSettings::default()),
            stamps: Cell::default(),
            clock,
        }
    }

    /// Keeps an event, stamped as of now.
    pub(crate) fn note(&mut self, event: FleetEvent) {
        let stamp = self.stamp();
        self.ring.record(FleetEvent { stamp, ..event });
    }

    /// Puts a stamp before a message's bytes.
    pub(crate) fn seal(&self, bytes: &[u8]) -> Vec<u8> {
        let mut sealed = Vec::with_capacity(STAMP_BYTES + bytes.len());
        sealed.extend_from_slice(&self.stamp().0.to_le_bytes());
        sealed.extend_from_slice(bytes);
        sealed
    }

    /// Takes a message's stamp into account and returns the rest; nothing where it has no stamp.
    pub(crate) fn open(&self, sealed: &[u8]) -> Option<Vec<u8>> {
        let (stamp, bytes) = sealed.split_at_checked(STAMP_BYTES)?;
        let stamp = u64::from_le_bytes(stamp.try_into().ok()?);
        let mut stamps = self.stamps.get();
        stamps.observe(HybridTime(stamp), self.clock.wall_ms());
        self.stamps.set(stamps);
        Some(bytes.to_vec())
    }

    /// The events that pass `filter`, as this node's part of a time line.
    pub(crate) fn gather(&self, node: &str, zone: &str, filter: &EventFilter) -> NodeTimeline {
        self.ring.query(node, zone, filter, MOST_EVENTS)
    }

    fn stamp(&self) -> HybridTime {
        let mut stamps = self.stamps.get();
        let stamp = stamps.now(self.clock.wall_ms());
        self.stamps.set(stamps);
        stamp
    }
}
