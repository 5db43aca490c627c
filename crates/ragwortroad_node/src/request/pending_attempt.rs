use ragwortroad_gateway::prelude::*;
use ragwortroad_routing::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

/// One attempt that was let in and looks for a place.
#[derive(Debug)]
pub(crate) struct PendingAttempt {
    /// The call as the traffic thread made it.
    pub(crate) call: AdmitCall,
    /// Where the reply goes.
    pub(crate) reply: flume::Sender<AdmitReply>,
    /// The customer's name.
    pub(crate) customer: String,
    /// The customer in the route table.
    pub(crate) customer_key: CustomerKey,
    /// What must be served.
    pub(crate) offer: OfferKey,
    /// The model's version, for a model request.
    pub(crate) version: Option<String>,
    /// The chat.
    pub(crate) chat: Option<ChatKey>,
    /// Prefix keys of the prompt, shortest first.
    pub(crate) prefixes: Vec<PrefixKey>,
    /// The engine that the caller's hint names.
    pub(crate) hint: Option<EndpointId>,
    /// Tokens the customer's limit was charged with.
    pub(crate) tokens: u32,
    /// The engines' scheduling priority.
    pub(crate) priority: u8,
    /// The claim it holds, for a request that must not run twice.
    pub(crate) claim: Option<HeldClaim>,
    /// Endpoints that failed the request or whose home refused it.
    pub(crate) excluded: Vec<EndpointId>,
    /// Homes asked so far.
    pub(crate) asked: u32,
    /// Homes that answered that their endpoint is full.
    pub(crate) full: u32,
    /// When the call came in.
    pub(crate) since: ClockTime,
}

/// A claim that an attempt holds or asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HeldClaim {
    /// The key.
    pub(crate) key: ClaimKey,
    /// Half of the request's body hash.
    pub(crate) body: [u8; 16],
    /// The attempt's own name; differs between two attempts of one request.
    pub(crate) attempt: ClaimAttempt,
}

impl HeldClaim {
    /// The step that asks for the claim.
    pub(crate) fn claim_step(&self) -> ClaimStep {
        ClaimStep::Claim {
            key: self.key.clone(),
            body: self.body,
            attempt: self.attempt,
        }
    }

    /// The step that gives it back with nothing sent.
    pub(crate) fn release_step(&self) -> ClaimStep {
        ClaimStep::Release {
            key: self.key.clone(),
            body: self.body,
            attempt: self.attempt,
        }
    }

    /// The step that records what came of it.
    pub(crate) fn finish_step(&self, result: ClaimResult) -> ClaimStep {
        ClaimStep::Finish {
            key: self.key.clone(),
            attempt: self.attempt,
            result,
        }
    }
}
