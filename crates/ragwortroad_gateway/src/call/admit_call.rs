use std::time::Duration;

use ragwortroad_types::prelude::*;

use crate::TicketId;

/// Asks the control thread to admit one attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmitCall {
    /// The request's identity.
    pub request: RequestId,
    /// SHA-256 of the customer's API key.
    pub key_hash: [u8; 32],
    /// What the request is for.
    pub target: RequestTarget,
    /// The HTTP method.
    pub method: String,
    /// The path and query, as sent to the endpoint.
    pub path: String,
    /// The chat that the request continues, as the client named it.
    pub chat: Option<String>,
    /// The placement hint as the client sent it; untrusted input.
    pub hint: Option<String>,
    /// The prompt text for prefix matching; empty for plain services.
    pub prompt: Vec<u8>,
    /// Whether running the request twice has the same effect as running it once.
    pub idempotent: bool,
    /// The client's idempotency key, if it sent one.
    pub idempotency_key: Option<String>,
    /// SHA-256 of method, path and body; tells a repeated request from a reused idempotency key.
    pub body_hash: [u8; 32],
    /// Body length in bytes.
    pub body_length: u64,
    /// Maximum number of tokens to generate; `None` if the request sets no limit.
    pub max_output_tokens: Option<u32>,
    /// Time left until the client's deadline.
    pub time_left: Duration,
    /// The previous attempt, if this one is a retry.
    ///
    /// Invariant: a [`FinishCall`](crate::FinishCall) sent earlier on the same channel reported
    /// that attempt.
    pub retry_of: Option<TicketId>,
    /// Endpoints that failed an earlier attempt of this request.
    pub excluded: Vec<EndpointId>,
    /// Version of the software that the endpoint must run, since the response has begun there;
    /// `None` if any may.
    pub build: Option<String>,
}

/// What a request is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestTarget {
    /// A model, with an adapter if the requested name has the form `model:adapter`.
    Model {
        /// The model's name.
        model: String,
        /// The adapter's name.
        adapter: Option<String>,
    },
    /// A plain service.
    Service {
        /// The service's name.
        service: String,
    },
}
