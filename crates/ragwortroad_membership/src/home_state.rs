use ragwortroad_types::prelude::*;

/// Who is home to an endpoint, as this node sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeState {
    /// This node is, and may admit work from `exclusive_from` until before `until`.
    Home {
        /// From then on no other node can admit work to the endpoint.
        exclusive_from: ClockTime,
        /// The lease's end, unless another announcement renews it.
        lease_end: ClockTime,
    },
    /// The endpoint turned to this node, but has not confirmed it by a second announcement.
    Claiming,
    /// Another node is.
    Elsewhere {
        /// That node.
        home: NodeId,
    },
    /// Nobody is known to be.
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
