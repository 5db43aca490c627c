//! Which node should be home to an endpoint.

use std::collections::BTreeMap;

use ragwortroad_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A node that may be home to endpoints.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HomeCandidate<'a> {
    /// The node.
    pub(crate) node: NodeId,
    /// Its zone.
    pub(crate) zone: &'a str,
    /// Whether it has been up for long enough.
    pub(crate) settled: bool,
}

/// Candidates and how many endpoints each is home to.
#[derive(Debug)]
pub(crate) struct HomeChoice<'a> {
    /// Settled nodes, or all where none is settled yet.
    candidates: Vec<HomeCandidate<'a>>,
    /// Endpoints by home.
    counts: &'a BTreeMap<NodeId, usize>,
    /// Most endpoints a node should be home to.
    pub(crate) cap: usize,
}

impl<'a> HomeChoice<'a> {
    /// A choice among `candidates`, given how many endpoints each node has.
    pub(crate) fn new(
        mut candidates: Vec<HomeCandidate<'a>>,
        counts: &'a BTreeMap<NodeId, usize>,
        total: usize,
        multiple: f64,
    ) -> Self {
        if candidates.iter().any(|candidate| candidate.settled) {
            candidates.retain(|candidate| candidate.settled);
        }
        let mean = total as f64 / candidates.len().max(1) as f64;
        let cap = ((mean * multiple).ceil() as usize).max(1);
        Self {
            candidates,
            counts,
            cap,
        }
    }

    /// Number of endpoints that `node` is home to.
    pub(crate) fn count(&self, node: NodeId) -> usize {
        self.counts.get(&node).copied().unwrap_or(0)
    }

    /// Whether `node` is a candidate and no candidate stands in `zone` while it does not.
    pub(crate) fn suits(&self, node: NodeId, zone: &str) -> bool {
        let Some(own) = self.candidates.iter().find(|one| one.node == node) else {
            return false;
        };
        own.zone == zone || !self.candidates.iter().any(|one| one.zone == zone)
    }

    /// The best nodes for `endpoint` in `zone`, best first.
    ///
    /// Nodes in the endpoint's zone go first, among these nodes with room, and among these the
    /// highest random weight: a node that comes or goes moves only endpoints of its own.
    pub(crate) fn best(&self, endpoint: EndpointId, zone: &str, most: usize) -> Vec<NodeId> {
        let mut ranked: Vec<_> = self
            .candidates
            .iter()
            .map(|candidate| {
                let elsewhere = candidate.zone != zone;
                let full = self.count(candidate.node) >= self.cap;
                let weight = xxh3_64_with_seed(&endpoint.0.to_le_bytes(), candidate.node.0);
                (elsewhere, full, u64::MAX - weight, candidate.node)
            })
            .collect();
        ranked.sort_unstable();
        ranked.truncate(most);
        ranked.into_iter().map(|rank| rank.3).collect()
    }
}
