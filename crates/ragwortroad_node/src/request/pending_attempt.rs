use ragwortroad_gateway::prelude::*;
use ragwortroad_routing::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

/// An admitted attempt that hasn't been placed on an endpoint yet.
#[derive(Debug)]
pub(crate) struct PendingAttempt {
    /// The admission call as made by the traffic thread.
    pub(crate) call: AdmitCall,
    /// Receives the decision.
    pub(crate) reply: flume::Sender<AdmitReply>,
    /// The customer's name.
    pub(crate) customer: String,
    /// The customer's key in the route table.
    pub(crate) customer_key: CustomerKey,
    /// The model version or service that is requested.
    pub(crate) offer: OfferKey,
    /// The model's version; `None` for a service request.
    pub(crate) version: Option<String>,
    pub(crate) chat: Option<ChatKey>,
    /// Prefix keys of the prompt, shortest first.
    pub(crate) prefixes: Vec<PrefixKey>,
    /// The endpoint named by the client's placement hint.
    pub(crate) hint: Option<EndpointId>,
    /// Tokens charged to the customer's limit.
    pub(crate) tokens: u32,
    /// The scheduling priority that is sent to the engine.
    pub(crate) priority: u8,
    /// Content of the request.
    pub(crate) digest: RequestDigest,
    /// The claim that a request which must not run twice needs before it is sent.
    pub(crate) claim: Option<HeldClaim>,
    /// Endpoints that failed the request or whose home rejected it.
    pub(crate) excluded: Vec<EndpointId>,
    /// Number of homes asked so far.
    pub(crate) homes_asked: u32,
    /// Number of homes that answered that the endpoint is full.
    pub(crate) homes_full: u32,
    /// When the call arrived.
    pub(crate) started: ClockTime,
}

/// A claim that an attempt holds or asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HeldClaim {
    pub(crate) key: ClaimKey,
    /// The first half of the hash of the request's body.
    pub(crate) body: [u8; 16],
    /// Unique to each attempt of a request.
    pub(crate) attempt: ClaimAttempt,
}

impl HeldClaim {
    /// Returns the step that asks for the claim.
    pub(crate) fn claim_step(&self) -> ClaimStep {
        ClaimStep::Claim {
            key: self.key.clone(),
            body: self.body,
            attempt: self.attempt,
        }
    }

    /// Returns the step that releases the claim when nothing was sent.
    pub(crate) fn release_step(&self) -> ClaimStep {
        ClaimStep::Release {
            key: self.key.clone(),
            body: self.body,
            attempt: self.attempt,
        }
    }

    /// Returns the step that records the request's result.
    pub(crate) fn finish_step(&self, result: ClaimResult) -> ClaimStep {
        ClaimStep::Finish {
            key: self.key.clone(),
            attempt: self.attempt,
            result,
        }
    }
}
