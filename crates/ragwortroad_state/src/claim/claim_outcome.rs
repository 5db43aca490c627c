use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::ClaimAnswer;

/// The outcome of one claim step.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The attempt, and no other, may send the request.
    Granted,
    /// Another attempt may be running.
    InProgress,
    /// An earlier attempt may have run.
    Unknown,
    /// An earlier attempt ran; its response was not kept.
    Ran {
        /// The HTTP status of the response.
        status: u16,
    },
    /// An earlier attempt ran and got this response.
    Recorded(ClaimAnswer),
    /// The key was used before with another body.
    BodyDiffers,
    /// The key is older than the window.
    Expired,
    /// The key's date is in the future by more than the allowed skew.
    Ahead,
    /// The customer has reached its limit of remembered keys.
    Full,
    /// The customer is not declared.
    UnknownCustomer,
    /// The attempt was released before.
    Withdrawn,
    /// A finish or release was recorded, now or earlier.
    Noted,
    /// A finish or release was ignored because the attempt does not hold the claim.
    NotHeld,
}

impl ClaimOutcome {
    /// Returns what the client of a refused claim is told; `None` for a grant, a recorded response
    /// and the outcomes of finishes and releases.
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
