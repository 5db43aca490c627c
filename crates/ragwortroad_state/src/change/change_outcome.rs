use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    AcceptedChange,
    ConfigFault, //
};

/// The outcome of a change. A change that is sent again gets the same one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// The change is durable on a quorum.
    Accepted {
        /// The revision that it created.
        revision: u64,
    },
    /// Another change was accepted on the same base.
    Conflict {
        /// The current revision.
        revision: u64,
        /// The accepted change, if the history still has it.
        winner: Option<Box<AcceptedChange>>,
    },
    /// The base revision does not exist yet.
    Ahead {
        /// The current revision.
        revision: u64,
    },
    /// The resulting configuration would be invalid.
    Invalid {
        /// Every fault of the change.
        faults: Vec<ConfigFault>,
    },
    /// Another change has the same identifier.
    IdReused,
    /// The identifier is empty or longer than 64 bytes.
    BadId,
}

impl ChangeOutcome {
    /// Whether the change took effect.
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Accepted { .. })
    }
}
