use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::ResponseFault;

/// What one caller saw of one request, over all its attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallRecord {
    /// What it was.
    pub kind: CallKind,
    /// The customer's name.
    pub customer: String,
    /// The idempotency key it was sent with.
    pub key: Option<String>,
    /// Every sending, in order.
    pub attempts: Vec<AttemptRecord>,
    /// How it ended.
    pub end: ClientOutcome,
    /// Microseconds from when it was due to its first token, for a stream.
    pub first_token_us: Option<u64>,
    /// Microseconds from when it was due to its end.
    pub total_us: u64,
    /// Prompt tokens the engine found in its cache.
    pub cached_tokens: u32,
    /// Prompt tokens in all.
    pub prompt_tokens: u32,
    /// Hash of the answer's body, for a service.
    pub answer_hash: Option<u64>,
}

/// What a call was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// A chat's first turn.
    FirstTurn,
    /// A later turn of a chat.
    ReturnTurn,
    /// A booking.
    Booking,
    /// A booking sent again under its key.
    Resend,
    /// A read.
    Read,
}

/// One sending of a request to one node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AttemptRecord {
    /// `IP:port` of the node.
    pub address: String,
    /// The identity the node gave it, if it answered.
    pub request_id: Option<String>,
    /// HTTP status, if it answered.
    pub status: Option<u16>,
    /// What a refusal said of the request.
    pub outcome: Option<RequestOutcome>,
    /// A refusal's code.
    pub code: Option<RefusalCode>,
}

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClientOutcome {
    /// With a whole answer of its own.
    Answered,
    /// With a refusal.
    Refused(RequestOutcome, RefusalCode),
    /// With an answer that must never be given.
    Wrong(ResponseFault),
    /// With a broken connection.
    Broken(String),
    /// No node could be reached.
    Unreachable,
}
