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
    /// The refusal itself.
    pub error: RefusalDetail,
}

/// What a refusal tells the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusalDetail {
    /// Whether the request ran.
    pub outcome: RequestOutcome,
    /// The stable reason.
    pub code: RefusalCode,
    /// What happened, for a person.
    pub message: String,
    /// What to do about it.
    pub remedy: String,
    /// The request's identity, as 16 hexadecimal digits.
    pub request_id: String,
    /// Milliseconds to wait before asking again, where waiting helps.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Other addresses to ask, best first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub addresses: Vec<String>,
}

impl RefusalWire {
    /// A refusal for `code` that needs neither a wait nor other addresses.
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
