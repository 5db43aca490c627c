use std::{
    collections::VecDeque,
    net::SocketAddr, //
};

/// Copies that one edge sends to other edges at a time; a dozen copies of a large configuration
/// occupy even a small VM's link for a fifth of a second.
const COPIES_PER_HELPER: usize = 3;

/// Queue of edges that need the whole configuration from one registry, in order of arrival.
///
/// After a restart of the whole fleet all edges need a copy. The registries' links carry the copies
/// for a few dozen edges in a tenth of a second, but those for hundreds take seconds, during which
/// the last edges cannot serve. Edges have links of their own, so a registry sends the first copies
/// itself and refers the other edges to those that already have one.
#[derive(Debug, Default)]
pub struct CopyQueue {
    /// Edges that this registry may serve itself or refer to a helper.
    waiting: VecDeque<u64>,
    /// Edges that this registry has to serve itself, ahead of the others.
    ///
    /// Invariant: none of them is in `waiting`.
    direct: VecDeque<u64>,
    /// Round-robin counter for the choice of helpers.
    next_helper: usize,
}

/// Edges that are served in one round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CopyPlan {
    /// Edges to which the registry sends a copy, by connection number.
    pub direct: Vec<u64>,
    /// Edges that the registry refers to another edge.
    pub referred: Vec<CopyReferral>,
}

/// Refers an edge to another edge for a copy of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyReferral {
    /// Connection number of the edge that needs the copy.
    pub edge: u64,
    /// Address of the edge that provides the copy.
    pub helper: SocketAddr,
}

impl CopyQueue {
    /// Adds an edge that needs a copy, unless it is queued already.
    pub fn enqueue(&mut self, edge: u64) {
        if !self.waiting.contains(&edge) && !self.direct.contains(&edge) {
            self.waiting.push_back(edge);
        }
    }

    /// Adds an edge that needs a copy from this registry, because the referral to another edge has
    /// failed.
    pub fn enqueue_direct(&mut self, edge: u64) {
        self.waiting.retain(|waiting| *waiting != edge);
        if !self.direct.contains(&edge) {
            self.direct.push_back(edge);
        }
    }

    /// Removes an edge that has disconnected.
    pub fn drop_edge(&mut self, edge: u64) {
        self.waiting.retain(|waiting| *waiting != edge);
        self.direct.retain(|waiting| *waiting != edge);
    }

    /// Returns whether no edge is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.direct.is_empty()
    }

    /// Returns the number of queued edges.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.direct.len()
    }

    /// Removes the edges that are served now: up to `most` by this registry, and as many by the
    /// `helpers`, edges that have the configuration, as these can serve at a time.
    pub fn plan(&mut self, most: usize, helpers: &[SocketAddr]) -> CopyPlan {
        let count = self.direct.len().min(most);
        let mut direct: Vec<u64> = self.direct.drain(..count).collect();
        let count = self.waiting.len().min(most - count);
        direct.extend(self.waiting.drain(..count));
        let count = self.waiting.len().min(helpers.len() * COPIES_PER_HELPER);
        let mut referred = Vec::new();
        for edge in self.waiting.drain(..count) {
            self.next_helper = self.next_helper.wrapping_add(1);
            let helper = helpers[self.next_helper % helpers.len()];
            referred.push(CopyReferral { edge, helper });
        }
        CopyPlan { direct, referred }
    }
}
