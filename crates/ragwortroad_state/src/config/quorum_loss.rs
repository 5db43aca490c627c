use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// What a node does when it cannot confirm that its configuration is current.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuorumLoss {
    /// Stop admitting work when the admission lease expires.
    #[default]
    Refuse,
    /// Continue for a grace period after the admission lease. A change then waits that much longer
    /// for each node that does not answer, since such a node may still admit work.
    GoOn {
        /// Grace period in seconds.
        seconds: u32,
    },
}

impl QuorumLoss {
    /// The time by which the policy extends every admission lease.
    pub fn grace(self) -> Duration {
        match self {
            Self::Refuse => Duration::ZERO,
            Self::GoOn { seconds } => Duration::from_secs(seconds.into()),
        }
    }
}
