use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    AcceptedChange,
    ConfigFault, //
};

/// What became of a change. A resend gets the same.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// It is durable on a quorum as this revision.
    Accepted {
        /// The revision.
        revision: u64,
    },
    /// Another change was accepted on the same base.
    Conflict {
        /// The revision now.
        revision: u64,
        /// The change that won, where the history still has it.
        winner: Option<Box<AcceptedChange>>,
    },
    /// Its base is a revision that is not there yet.
    Ahead {
        /// The revision now.
        revision: u64,
    },
    /// It would not leave a whole configuration.
    Invalid {
        /// Every fault.
        faults: Vec<ConfigFault>,
    },
    /// Another change has the same name.
    IdReused,
    /// Its name is empty or longer than 64 bytes.
    BadId,
}

impl ChangeOutcome {
    /// Whether the change took effect.
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Accepted { .. })
    }
}
