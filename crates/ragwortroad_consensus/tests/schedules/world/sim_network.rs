//! Simulated network that loses, duplicates, delays and partitions messages.

use ragwortroad_consensus::prelude::*;
use rand::RngExt;

use super::{
    SimEvent,
    SimWorld, //
};

impl SimWorld {
    pub(crate) fn send(&mut self, from: usize, frame: &PeerFrame) {
        self.checker.record_vote(frame);
        let found = self
            .nodes
            .iter()
            .position(|node| node.member == Some(frame.to));
        let Some(to) = found else {
            return;
        };
        let bytes = frame.encode().expect("a frame encodes");
        assert_eq!(bytes.len(), frame.encoded_len());
        self.counts.messages += 1;
        self.counts.message_bytes += bytes.len() as u64;
        if self.partitions.contains(&(from, to)) || self.chance(self.plan.loss_percent) {
            self.counts.lost += 1;
            return;
        }
        if self.chance(self.plan.duplicate_percent) {
            self.counts.duplicated += 1;
            let delay = self.delay();
            self.schedule(delay, SimEvent::Deliver(to, bytes.clone()));
        }
        let delay = self.delay();
        self.schedule(delay, SimEvent::Deliver(to, bytes));
    }

    /// Returns `true` with the given probability, and always `false` once faults are over.
    pub(crate) fn chance(&mut self, percent: u32) -> bool {
        !self.is_fault_free && self.rng.random_range(0..100) < percent
    }

    fn delay(&mut self) -> u64 {
        if self.chance(self.plan.late_percent) {
            self.counts.delayed += 1;
            return self.rng.random_range(10_000..3_000_000);
        }
        self.rng.random_range(500..6000)
    }
}
