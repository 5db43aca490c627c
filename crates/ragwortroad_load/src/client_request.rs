use std::time::{
    Duration,
    Instant, //
};

use minreq::Method;
use ragwortroad_types::prelude::*;

use crate::{
    AttemptRecord,
    ClientOutcome,
    event_reader::TokenUsage, //
};

/// One request to a node.
pub(crate) struct ClientRequest<'call> {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: String,
    pub(crate) key: &'call str,
    pub(crate) idempotency_key: Option<&'call str>,
    pub(crate) chat: Option<&'call str>,
    pub(crate) hint: Option<String>,
    pub(crate) deadline: Duration,
}

/// The result of one attempt.
pub(crate) struct ClientResponse {
    pub(crate) attempt: AttemptRecord,
    pub(crate) end: ClientOutcome,
    pub(crate) refusal: Option<Box<RefusalWire>>,
    pub(crate) hint: Option<String>,
    /// The node that should get the chat's next request, from `X-Next-Node`.
    pub(crate) next_node: Option<String>,
    pub(crate) first_token: Option<Instant>,
    pub(crate) usage: TokenUsage,
    pub(crate) body: Vec<u8>,
}

impl ClientResponse {
    pub(crate) fn unreachable(address: &str) -> Self {
        let attempt = AttemptRecord {
            address: address.to_owned(),
            request_id: None,
            status: None,
            outcome: None,
            code: None,
        };
        Self {
            attempt,
            end: ClientOutcome::Unreachable,
            refusal: None,
            hint: None,
            next_node: None,
            first_token: None,
            usage: TokenUsage::default(),
            body: Vec::new(),
        }
    }

    pub(crate) fn record_refusal(&mut self, refusal: RefusalWire) {
        let detail = &refusal.error;
        self.attempt.outcome = Some(detail.outcome);
        self.attempt.code = Some(detail.code);
        self.end = ClientOutcome::Refused(detail.outcome, detail.code);
        self.refusal = Some(Box::new(refusal));
    }
}
