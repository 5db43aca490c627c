use serde::{
    Deserialize,
    Serialize, //
};

/// One request as a stand-in saw it, recorded once its whole body was received.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunRecord {
    /// Name of the stand-in.
    pub endpoint: String,
    /// Its `X-Request-Id`; empty if absent.
    pub request_id: String,
    /// The customer's name from the request; empty if absent.
    pub customer: String,
    /// The HTTP method.
    pub method: String,
    /// Path and query; for chats the path only.
    pub path: String,
    /// Its idempotency key; always `None` for chats.
    pub idempotency_key: Option<String>,
    /// XXH3 hash of the request body.
    pub body_hash: u64,
    /// Start of the run, in milliseconds since the stand-in started.
    pub began_ms: u64,
    /// End of the run, in milliseconds since the stand-in started; `None` while it runs.
    pub ended_ms: Option<u64>,
    /// Status of the run.
    pub end: RunStatus,
    /// Index of the first generated token; above 0 for a resumed stream.
    pub from_token: u32,
    /// Number of generated tokens.
    pub tokens: u32,
    /// Prompt tokens that were in the prefix cache.
    pub cached_tokens: u32,
    /// Total prompt tokens.
    pub prompt_tokens: u32,
}

/// Status of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// The run has not ended.
    Running,
    /// The complete response was written.
    Completed,
    /// An injected fault interrupted it.
    Cut,
    /// It was cancelled, or its client disconnected.
    Cancelled,
}
