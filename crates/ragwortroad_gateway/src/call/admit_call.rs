use std::time::Duration;

use ragwortroad_types::prelude::*;

use crate::TicketId;

/// A request that wants to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmitCall {
    /// The request's identity.
    pub request: RequestId,
    /// SHA-256 of the customer's key.
    pub key_hash: [u8; 32],
    /// What the request is for.
    pub target: RequestTarget,
    /// The HTTP method.
    pub method: String,
    /// The path as the endpoint will see it, with its query.
    pub path: String,
    /// The chat it continues, as the caller named it.
    pub chat: Option<String>,
    /// The placement hint as the caller sent it; not to be trusted.
    pub hint: Option<String>,
    /// The prompt's text for prefix matching; empty for plain services.
    pub prompt: Vec<u8>,
    /// Whether running it twice does the same as running it once.
    pub idempotent: bool,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// SHA-256 over method, path and body, to tell a repeated request from a reused key.
    pub body_hash: [u8; 32],
    /// Body length in bytes.
    pub body_length: u64,
    /// Upper bound of tokens to generate, where the request names one.
    pub max_output_tokens: Option<u32>,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// The attempt before this one, where it is a retry.
    ///
    /// Invariant: that attempt was reported by a [`FinishCall`](crate::FinishCall) sent earlier on
    /// the same channel.
    pub retry_of: Option<TicketId>,
    /// Endpoints that failed this request before.
    pub excluded: Vec<EndpointId>,
}

/// What a request is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestTarget {
    /// A model, and an adapter where the name is followed by `:adapter`.
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
