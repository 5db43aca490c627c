use serde::{
    Deserialize,
    Serialize, //
};

/// One request as a stand-in saw it, from the moment its whole body was there.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunRecord {
    /// The stand-in's name.
    pub endpoint: String,
    /// The `X-Request-Id` it came with.
    pub request_id: String,
    /// The customer's name it came with.
    pub customer: String,
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The idempotency key it came with.
    pub idempotency_key: Option<String>,
    /// Hash of the body.
    pub body_hash: u64,
    /// Milliseconds since the stand-in started.
    pub began_ms: u64,
    /// Milliseconds since the stand-in started, once it is over.
    pub ended_ms: Option<u64>,
    /// How it ended.
    pub end: RunStatus,
    /// First token made, for a resumed stream.
    pub from_token: u32,
    /// Tokens made.
    pub tokens: u32,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
    /// Prompt tokens in all.
    pub prompt_tokens: u32,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// Still under way.
    Running,
    /// The whole answer was written.
    Completed,
    /// A fault that was set cut it.
    Cut,
    /// It was cancelled, or its caller left.
    Cancelled,
}
