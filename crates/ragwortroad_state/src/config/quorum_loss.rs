use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// What a node does that cannot confirm that its configuration is current.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuorumLoss {
    /// It stops admitting work when its admission lease is over.
    #[default]
    Refuse,
    /// It goes on for so many seconds more. A change then waits for that long for each node that
    /// does not answer, since such a node may still be admitting work.
    GoOn {
        /// Seconds beyond the admission lease.
        seconds: u32,
    },
}

impl QuorumLoss {
    /// The time that every admission lease is longer for it.
    pub fn grace(self) -> Duration {
        match self {
            Self::Refuse => Duration::ZERO,
            Self::GoOn { seconds } => Duration::from_secs(seconds.into()),
        }
    }
}
