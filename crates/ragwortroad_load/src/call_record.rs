use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::ResponseFault;

/// One request as its client saw it, over all its attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallRecord {
    /// Kind of request.
    pub kind: CallKind,
    /// The customer's name.
    pub customer: String,
    /// The idempotency key it was sent with; only bookings have one.
    pub key: Option<String>,
    /// Every attempt, in order.
    pub attempts: Vec<AttemptRecord>,
    /// Outcome of the last attempt.
    pub end: ClientOutcome,
    /// Microseconds from the due time to the first token; `None` unless a stream delivered one.
    pub first_token_us: Option<u64>,
    /// Microseconds from the due time to the end of the request.
    pub total_us: u64,
    /// Prompt tokens that the engine found in its prefix cache; 0 for service requests.
    pub cached_tokens: u32,
    /// Total prompt tokens; 0 for service requests.
    pub prompt_tokens: u32,
    /// Hash of the response body, to compare the responses to one idempotency key.
    pub answer_hash: Option<u64>,
}

/// Kind of a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// The first turn of a chat.
    FirstTurn,
    /// A later turn of a chat.
    ReturnTurn,
    /// The first request for a booking.
    Booking,
    /// A repeated booking under the same idempotency key.
    Resend,
    /// A read from the plain service.
    Read,
}

/// One attempt to send a request to one node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AttemptRecord {
    /// `IP:port` of the node; empty if no address was known.
    pub address: String,
    /// The node's `X-Request-Id`, if the node responded with one.
    pub request_id: Option<String>,
    /// HTTP status, if the node responded.
    pub status: Option<u16>,
    /// The refusal's outcome; `None` if the request was not refused.
    pub outcome: Option<RequestOutcome>,
    /// The refusal's code; `None` if the request was not refused.
    pub code: Option<RefusalCode>,
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClientOutcome {
    /// The response is complete and, where responses are checked, correct.
    Answered,
    /// The node refused the request.
    Refused(RequestOutcome, RefusalCode),
    /// The response violates the contract with clients.
    Wrong(ResponseFault),
    /// The connection failed or the response was not valid; holds the reason.
    Broken(String),
    /// The connection was refused.
    Unreachable,
}
