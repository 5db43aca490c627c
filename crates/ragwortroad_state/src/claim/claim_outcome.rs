use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::ClaimAnswer;

/// The state's answer to one claim step.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The attempt, and no other, may send the request.
    Granted,
    /// Another attempt is running.
    InProgress,
    /// An earlier attempt may have run.
    Unknown,
    /// An earlier attempt ran; its answer was not kept.
    Ran {
        /// HTTP status.
        status: u16,
    },
    /// An earlier attempt ran, with this answer.
    Recorded(ClaimAnswer),
    /// The key came before with another body.
    BodyDiffers,
    /// The key is older than the window.
    Expired,
    /// The key's date lies in the future.
    Ahead,
    /// The customer has as many keys remembered as it may.
    Full,
    /// No customer of this name is declared.
    UnknownCustomer,
    /// The attempt was released before.
    Withdrawn,
    /// A finish or release took effect, or had done so before.
    Noted,
    /// A finish or release of an attempt that does not hold the claim.
    NotHeld,
}

impl ClaimOutcome {
    /// What a caller whose claim was not granted is told; nothing for a grant, a recorded answer
    /// and the answers to finishes and releases.
    pub fn refusal(&self) -> Option<(RequestOutcome, RefusalCode)> {
        let refusal = match self {
            Self::InProgress => (RequestOutcome::Unknown, RefusalCode::KeyInProgress),
            Self::Unknown => (RequestOutcome::Unknown, RefusalCode::BrokenAnswer),
            Self::Ran { .. } => (RequestOutcome::Ran, RefusalCode::BrokenAnswer),
            Self::BodyDiffers => (RequestOutcome::NotRun, RefusalCode::KeyReused),
            Self::Expired => (RequestOutcome::Unknown, RefusalCode::KeyExpired),
            Self::Ahead => (RequestOutcome::NotRun, RefusalCode::MalformedRequest),
            Self::Full | Self::Withdrawn => (RequestOutcome::NotRun, RefusalCode::ClaimUnavailable),
            Self::UnknownCustomer => (RequestOutcome::NotRun, RefusalCode::WrongKey),
            Self::Granted | Self::Recorded(_) | Self::Noted | Self::NotHeld => return None,
        };
        Some(refusal)
    }
}
