use std::collections::BTreeSet;

use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

use super::fake_node::FakeNode;

/// A network that loses, delays and duplicates packets and can be partitioned.
pub(crate) struct FakeNetwork {
    /// Probability that a packet is lost; a quarter of it applies to announcements and their
    /// responses.
    pub(crate) loss: f64,
    /// Probability that a packet arrives twice.
    pub(crate) duplication: f64,
    /// Probability that a packet or announcement is delayed by up to eight seconds.
    pub(crate) long_delay: f64,
    /// Pairs of sender and receiver whose packets are dropped; the opposite direction still works.
    pub(crate) cuts: BTreeSet<(usize, usize)>,
    /// Regions whose links to other regions are cut.
    pub(crate) partitioned_regions: BTreeSet<usize>,
    /// Number of packets lost, duplicated or delayed.
    pub(crate) faults: u64,
    /// When a link was last cut.
    pub(crate) last_cut: u64,
    rng: Pcg64Mcg,
}

impl FakeNetwork {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            loss: 0.0,
            duplication: 0.0,
            long_delay: 0.0,
            cuts: BTreeSet::new(),
            partitioned_regions: BTreeSet::new(),
            faults: 0,
            last_cut: 0,
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x006e_6574_776f_726b),
        }
    }

    pub(crate) fn is_cut(&self, from: usize, to: usize, nodes: &[FakeNode]) -> bool {
        let (left, right) = (nodes[from].region(), nodes[to].region());
        let is_partitioned = left != right
            && (self.partitioned_regions.contains(&left)
                || self.partitioned_regions.contains(&right));
        is_partitioned || self.cuts.contains(&(from, to)) || self.cuts.contains(&(to, from))
    }

    pub(crate) fn recently_cut(&self, now: u64) -> bool {
        self.last_cut > 0 && now < self.last_cut + 60_000
    }

    /// Returns the delays in milliseconds of all copies of a packet that arrive.
    pub(crate) fn delays(&mut self, from: usize, to: usize, nodes: &[FakeNode]) -> Vec<u64> {
        let (left, right) = (nodes[from].region(), nodes[to].region());
        let is_partitioned = left != right
            && (self.partitioned_regions.contains(&left)
                || self.partitioned_regions.contains(&right));
        if is_partitioned || self.cuts.contains(&(from, to)) || self.rng.random_bool(self.loss) {
            self.faults += 1;
            return Vec::new();
        }
        let mut delays = vec![self.delay(nodes[from].zone != nodes[to].zone)];
        if self.rng.random_bool(self.duplication) {
            self.faults += 1;
            delays.push(self.delay(true));
        }
        delays
    }

    /// Returns the delay in milliseconds of an announcement or its response, or nothing if it is
    /// lost.
    pub(crate) fn announce_delay(&mut self, node: &FakeNode) -> Option<u64> {
        if node.table.is_none() || self.rng.random_bool(self.loss / 4.0) {
            return None;
        }
        Some(self.delay(true))
    }

    fn delay(&mut self, far: bool) -> u64 {
        if self.rng.random_bool(self.long_delay) {
            self.faults += 1;
            return self.rng.random_range(100..8000);
        }
        if far {
            self.rng.random_range(2..12)
        } else {
            self.rng.random_range(1..3)
        }
    }
}
