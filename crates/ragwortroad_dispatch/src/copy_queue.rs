use std::{
    collections::VecDeque,
    net::SocketAddr, //
};

/// Edges that one edge gives copies to at once; a dozen copies of a large configuration take even a
/// small VM's link a fifth of a second.
const COPIES_A_HELPER: usize = 3;

/// Edges that need a whole configuration from one registry, in the order in which they asked.
///
/// After a common restart all edges of a fleet need one. The registries' links carry the copies for a
/// few dozen edges in a tenth of a second, and for hundreds in seconds, in which nobody is served by
/// the last ones. Edges have links of their own: a registry gives the first copies itself, and
/// refers the others to edges that have one by then.
#[derive(Debug, Default)]
pub struct CopyQueue {
    /// Edges that this registry serves or refers.
    waiting: VecDeque<u64>,
    /// Edges that this registry has to serve itself, before the others.
    ///
    /// Invariant: none of them is among those of `waiting`.
    direct: VecDeque<u64>,
    /// Place among the helpers from which the next referral is made.
    turn: usize,
}

/// What becomes of those that wait.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CopyPlan {
    /// Edges to which the registry sends a copy.
    pub direct: Vec<u64>,
    /// Edges that get one from another edge.
    pub referred: Vec<CopyReferral>,
}

/// An edge that is to ask another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyReferral {
    /// The edge, by the number of its connection.
    pub edge: u64,
    /// Where the other one is asked.
    pub helper: SocketAddr,
}

impl CopyQueue {
    /// An edge needs a copy.
    pub fn enqueue(&mut self, edge: u64) {
        if !self.waiting.contains(&edge) && !self.direct.contains(&edge) {
            self.waiting.push_back(edge);
        }
    }

    /// An edge needs a copy from this registry: another edge gave it none.
    pub fn enqueue_direct(&mut self, edge: u64) {
        self.waiting.retain(|waiting| *waiting != edge);
        if !self.direct.contains(&edge) {
            self.direct.push_back(edge);
        }
    }

    /// An edge is gone.
    pub fn drop_edge(&mut self, edge: u64) {
        self.waiting.retain(|waiting| *waiting != edge);
        self.direct.retain(|waiting| *waiting != edge);
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.direct.is_empty()
    }

    /// Edges that wait.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.direct.len()
    }

    /// Takes those that get a copy now: up to `most` from this registry, and as many from the
    /// `helpers`, edges that have the configuration, as these can give at once.
    pub fn plan(&mut self, most: usize, helpers: &[SocketAddr]) -> CopyPlan {
        let count = self.direct.len().min(most);
        let mut direct: Vec<u64> = self.direct.drain(..count).collect();
        let count = self.waiting.len().min(most - count);
        direct.extend(self.waiting.drain(..count));
        let count = self.waiting.len().min(helpers.len() * COPIES_A_HELPER);
        let mut referred = Vec::new();
        for edge in self.waiting.drain(..count) {
            self.turn = self.turn.wrapping_add(1);
            let helper = helpers[self.turn % helpers.len()];
            referred.push(CopyReferral { edge, helper });
        }
        CopyPlan { direct, referred }
    }
}
