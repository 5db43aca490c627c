use std::time::Duration;

use ragwortroad_types::NodeId;

use crate::SlotId;

/// A home node's answer to a node that wants a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotAnswer {
    /// The request may be sent; the slot must be given back.
    Granted {
        /// Names the slot in the release.
        slot: SlotId,
    },
    /// The endpoint is at its bound.
    Full {
        /// When to ask again.
        retry_after: Duration,
    },
    /// The node asked is not, or not yet, the endpoint's home.
    NotHome {
        /// The home by its knowledge.
        home: Option<NodeId>,
    },
}
