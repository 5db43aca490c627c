use std::time::Duration;

use ragwortroad_routing::prelude::*;
use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

/// Messages between requesters and homes about slots, and between nodes about limit shares and
/// about requests that crash endpoints.
///
/// The requester draws the question number, which identifies the slot from then on. This makes
/// every message safe to resend: a repeated `Ask` returns the same slot, and a repeated `Release`
/// ends it once.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum SlotMessage {
    /// Asks a home whether one request of this customer may be sent to the endpoint.
    Ask {
        /// Question number, drawn by the requester.
        question: u64,
        endpoint: EndpointId,
        /// The customer's key in the route table.
        customer: u64,
        /// The request's admission class.
        claim: AskClass,
        /// The request, for the timeline.
        request: RequestId,
        /// Differs between runs of the requester's process.
        run: u64,
    },
    /// The home's answer to an `Ask`.
    Answer {
        /// Question number of the `Ask`.
        question: u64,
        answer: SlotVerdict,
    },
    /// The request has ended, or the answer came too late to be used.
    Release {
        /// Question number of the `Ask`.
        question: u64,
        endpoint: EndpointId,
        /// How the request ended.
        outcome: ReleaseOutcome,
    },
    /// Confirms a `Release`, which need not be resent.
    Released {
        /// Question number of the `Ask`.
        question: u64,
    },
    /// Recent demand of one node's clients, for the coordinator of their customers' limits:
    /// customer, requests in ten seconds, concurrent requests.
    Demand(Vec<(u64, u16, u16)>),
    /// Limit shares granted by the coordinator: customer, share of the rates in 65,535ths,
    /// concurrent requests.
    Share(Vec<(u64, u16, u16)>),
    /// Requests under which endpoints have crashed.
    Crashes(Vec<CrashReport>),
    /// Asks for all known crashes, after a start.
    WantCrashes,
}

/// An [`AdmissionClass`] on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum AskClass {
    /// Any suitable endpoint serves the request equally well.
    Arriving,
    /// The request's context is cached at the endpoint.
    Returning,
    /// The customer was recently refused everywhere.
    Starved,
}

impl From<AdmissionClass> for AskClass {
    fn from(class: AdmissionClass) -> Self {
        match class {
            AdmissionClass::Arriving => Self::Arriving,
            AdmissionClass::Returning => Self::Returning,
            AdmissionClass::Starved => Self::Starved,
        }
    }
}

impl From<AskClass> for AdmissionClass {
    fn from(class: AskClass) -> Self {
        match class {
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
    /// The request may be sent.
    Granted,
    /// The endpoint is at its bound.
    Full {
        /// Milliseconds until a retry makes sense.
        retry_after_ms: u32,
    },
    /// The answering node isn't the endpoint's home, or not yet.
    NotHome {
        /// The home as far as the answering node knows it.
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
    /// Converts the verdict for the requester's route table. The slot's number is known only at the
    /// home, so the one returned here is a placeholder.
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
    /// The response was complete.
    Succeeded,
    /// A server error, a broken response, or a failed connection.
    Failed,
    /// The outcome says nothing about the endpoint.
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
