//! Selection of the home node for an endpoint.

use std::collections::BTreeMap;

use ragwortroad_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A node that may become the home of endpoints.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HomeCandidate<'a> {
    pub(crate) node: NodeId,
    /// The node's failure domain (zone).
    pub(crate) zone: &'a str,
    /// Whether the node has been up for at least the required time.
    pub(crate) is_stable: bool,
}

/// Ranks home candidates, given the number of endpoints that each node already has.
#[derive(Debug)]
pub(crate) struct HomeSelector<'a> {
    /// The stable nodes, or all nodes if none is stable yet.
    candidates: Vec<HomeCandidate<'a>>,
    /// Number of endpoints by home.
    counts: &'a BTreeMap<NodeId, usize>,
    /// Number of endpoints from which a node counts as full.
    pub(crate) max_homed: usize,
}

impl<'a> HomeSelector<'a> {
    /// Creates a selector for `candidates`. A node may hold the mean number of endpoints times
    /// `balance_factor`, rounded up.
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

    /// Number of endpoints whose home is `node`.
    pub(crate) fn count(&self, node: NodeId) -> usize {
        self.counts.get(&node).copied().unwrap_or(0)
    }

    /// Whether `node` is a candidate and lies in `zone`, or no candidate lies there.
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

    /// Returns up to `limit` candidates for `endpoint` in `zone`, best first.
    ///
    /// Candidates in the endpoint's zone come first, then those that are not full, then those with
    /// the highest rendezvous hash. A node that joins or leaves thus only moves endpoints of its
    /// own.
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
