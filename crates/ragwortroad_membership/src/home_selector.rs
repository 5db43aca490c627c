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
    pub(crate) is_stable: bool,
}

/// Candidates and how many endpoints each is home to.
#[derive(Debug)]
pub(crate) struct HomeSelector<'a> {
    /// Settled nodes, or all where none is settled yet.
    candidates: Vec<HomeCandidate<'a>>,
    /// Endpoints by home.
    counts: &'a BTreeMap<NodeId, usize>,
    /// Most endpoints a node should be home to.
    pub(crate) max_homed: usize,
}

impl<'a> HomeSelector<'a> {
    /// A choice among `candidates`, given how many endpoints each node has.
    pub(crate) fn new(
        mut candidates: Vec<HomeCandidate<'a>>,
        counts: &'a BTreeMap<NodeId, usize>,
        endpoint_count: usize,
        balance_factor: f64,
    ) -> Self {
        if candidates.iter().any(|candidate| candidate.is_stable) {
            candidates.retain(|candidate| candidate.is_stable);
        }
        let mean = endpoint_count as f64 / candidates.len().max(1) as f64;
        let max_homed = ((mean * balance_factor).ceil() as usize).max(1);
        Self {
            candidates,
            counts,
            max_homed,
        }
    }

    /// Number of endpoints that `node` is home to.
    pub(crate) fn count(&self, node: NodeId) -> usize {
        self.counts.get(&node).copied().unwrap_or(0)
    }

    /// Whether `node` is a candidate and no candidate stands in `zone` while it does not.
    pub(crate) fn is_suitable(&self, node: NodeId, zone: &str) -> bool {
        let Some(own) = self
            .candidates
            .iter()
            .find(|candidate| candidate.node == node)
        else {
            return false;
        };
        own.zone == zone
            || !self
                .candidates
                .iter()
                .any(|candidate| candidate.zone == zone)
    }

    /// The best nodes for `endpoint` in `zone`, best first.
    ///
    /// Nodes in the endpoint's zone go first, among these nodes with room, and among these the
    /// highest random weight: a node that comes or goes moves only endpoints of its own.
    pub(crate) fn ranked_nodes(
        &self,
        endpoint: EndpointId,
        zone: &str,
        limit: usize,
    ) -> Vec<NodeId> {
        let mut ranked: Vec<_> = self
            .candidates
            .iter()
            .map(|candidate| {
                let in_other_zone = candidate.zone != zone;
                let is_full = self.count(candidate.node) >= self.max_homed;
                let weight = xxh3_64_with_seed(&endpoint.0.to_le_bytes(), candidate.node.0);
                (in_other_zone, is_full, u64::MAX - weight, candidate.node)
            })
            .collect();
        ranked.sort_unstable();
        ranked.truncate(limit);
        ranked.into_iter().map(|rank| rank.3).collect()
    }
}
