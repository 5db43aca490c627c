use std::time::Duration;

use ragwortroad_routing::prelude::*;
use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

/// What nodes and homes tell each other about slots and customers' shares.
///
/// A question's number is drawn by the asker and names the slot from then on, so that every
/// message can be repeated: a repeated `Ask` returns the same slot, a repeated `Release` ends it
/// once.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum SlotMessage {
    /// May one request of this customer be sent to the endpoint?
    Ask {
        /// The asker's number for the question.
        question: u64,
        /// The endpoint.
        endpoint: EndpointId,
        /// The customer's key in the route table.
        customer: u64,
        /// What the request has to lose by going elsewhere.
        claim: AskClass,
        /// The request, for the time line.
        request: RequestId,
        /// Differs between runs of the asker's process.
        run: u64,
    },
    /// The home's answer.
    Answer {
        /// The question.
        question: u64,
        /// What the home says.
        answer: SlotVerdict,
    },
    /// The request of a question is over, or its answer came too late to be used.
    Release {
        /// The question.
        question: u64,
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: ReleaseOutcome,
    },
    /// The release has been noted; it need not be sent again.
    Released {
        /// The question.
        question: u64,
    },
    /// What one node's callers wanted lately, for the keeper of their customers' limits:
    /// customer, requests in ten seconds, concurrent requests.
    Demand(Vec<(u64, u16, u16)>),
    /// The keeper's shares: customer, share of the rates in 65,535ths, concurrent requests.
    Share(Vec<(u64, u16, u16)>),
}

/// A [`SlotClaim`] on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum AskClass {
    /// One endpoint is as good as another.
    Arriving,
    /// Its context is at the endpoint.
    Returning,
    /// Its customer was refused everywhere a moment ago.
    Starved,
}

impl From<AdmissionClass> for AskClass {
    fn from(claim: AdmissionClass) -> Self {
        match claim {
            AdmissionClass::Arriving => Self::Arriving,
            AdmissionClass::Returning => Self::Returning,
            AdmissionClass::Starved => Self::Starved,
        }
    }
}

impl From<AskClass> for AdmissionClass {
    fn from(claim: AskClass) -> Self {
        match claim {
            AskClass::Arriving => Self::Arriving,
            AskClass::Returning => Self::Returning,
            AskClass::Starved => Self::Starved,
        }
    }
}

/// A home's answer on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum SlotVerdict {
    /// Send it.
    Granted,
    /// At the bound.
    Full {
        /// Milliseconds until asking again makes sense.
        retry_after_ms: u32,
    },
    /// Not, or not yet, the home.
    NotHome {
        /// The home by the answerer's knowledge.
        home: Option<NodeId>,
    },
}

impl From<SlotAnswer> for SlotVerdict {
    fn from(answer: SlotAnswer) -> Self {
        match answer {
            SlotAnswer::Granted { .. } => Self::Granted,
            SlotAnswer::Full { retry_after } => Self::Full {
                retry_after_ms: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
            },
            SlotAnswer::NotHome { home } => Self::NotHome { home },
        }
    }
}

impl SlotVerdict {
    /// The verdict as the route table of the asking node takes it in; the slot's number is known
    /// at the home only.
    pub(crate) fn as_answer(self) -> SlotAnswer {
        match self {
            Self::Granted => SlotAnswer::Granted { slot: SlotId(0) },
            Self::Full { retry_after_ms } => SlotAnswer::Full {
                retry_after: Duration::from_millis(retry_after_ms.into()),
            },
            Self::NotHome { home } => SlotAnswer::NotHome { home },
        }
    }
}

/// How the request of a slot ended, on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum ReleaseOutcome {
    /// A whole answer.
    Succeeded,
    /// A server error, a broken answer, or no connection.
    Failed,
    /// Says nothing of the endpoint.
    Neutral,
}

impl From<SlotOutcome> for ReleaseOutcome {
    fn from(outcome: SlotOutcome) -> Self {
        match outcome {
            SlotOutcome::Succeeded => Self::Succeeded,
            SlotOutcome::Failed => Self::Failed,
            SlotOutcome::Neutral => Self::Neutral,
        }
    }
}

impl From<ReleaseOutcome> for SlotOutcome {
    fn from(outcome: ReleaseOutcome) -> Self {
        match outcome {
            ReleaseOutcome::Succeeded => Self::Succeeded,
            ReleaseOutcome::Failed => Self::Failed,
            ReleaseOutcome::Neutral => Self::Neutral,
        }
    }
}
