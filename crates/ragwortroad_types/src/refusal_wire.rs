use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    RefusalCode,
    RequestId,
    RequestOutcome, //
};

/// The JSON body of every refusal: `{"error": {...}}`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusalWire {
    /// The content of the refusal.
    pub error: RefusalDetail,
}

/// The information that a refusal gives to the client.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusalDetail {
    /// Whether the request ran.
    pub outcome: RequestOutcome,
    /// The machine-readable reason.
    pub code: RefusalCode,
    /// What happened, in words for a person.
    pub message: String,
    /// What the client can do about it.
    pub remedy: String,
    /// The request ID, as 16 hexadecimal digits.
    pub request_id: String,
    /// Milliseconds to wait before a retry, if waiting helps.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Other addresses to try, best first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub addresses: Vec<String>,
}

impl RefusalWire {
    /// Creates a refusal for `code` without a retry delay or other addresses.
    pub fn new(
        outcome: RequestOutcome,
        code: RefusalCode,
        message: impl Into<String>,
        request_id: RequestId,
    ) -> Self {
        let error = RefusalDetail {
            outcome,
            code,
            message: message.into(),
            remedy: code.remedy().to_owned(),
            request_id: request_id.to_string(),
            retry_after_ms: None,
            addresses: Vec::new(),
        };
        Self { error }
    }
}
