use ragwortroad_types::prelude::*;

/// Which node is the home of an endpoint, as seen by this node.
///
/// Only the home may admit work to the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeState {
    /// This node is the home. It may admit work from `exclusive_from` until just before
    /// `lease_end`.
    Home {
        /// From this time on, no other node can admit work to the endpoint.
        exclusive_from: ClockTime,
        /// End of the lease, unless a further announcement renews it.
        lease_end: ClockTime,
    },
    /// The endpoint switched to this node, but no second announcement has confirmed it yet.
    Claiming,
    /// Another node is the home.
    Elsewhere {
        /// The home node.
        home: NodeId,
    },
    /// No home is known.
    Unknown,
}

impl HomeState {
    /// Whether this node may admit work to the endpoint at `now`.
    pub fn admits_at(&self, now: ClockTime) -> bool {
        match *self {
            Self::Home {
                exclusive_from,
                lease_end,
            } => exclusive_from <= now && now < lease_end,
            _ => false,
        }
    }
}
