use std::time::Duration;

use ragwortroad_types::NodeId;

use crate::SlotId;

/// A home node's answer to a node that asked for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotAnswer {
    /// The request may be sent, and the slot must be released afterwards.
    Granted {
        /// Identifies the slot in the release.
        slot: SlotId,
    },
    /// The endpoint is at its bound.
    Full {
        /// How long to wait before asking again.
        retry_after: Duration,
    },
    /// The node asked is not, or not yet, the endpoint's home.
    NotHome {
        /// The home as far as the node asked knows.
        home: Option<NodeId>,
    },
}
