use ragwortroad_standin::expected_tokens;
use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

/// Checks that a stand-in's response is complete and belongs to the request.
pub struct ResponseCheck {
    /// The only correct response text.
    expected: String,
    token_count: usize,
}

/// What is wrong with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseFault {
    /// It ends early, but was delivered as complete.
    Short,
    /// It continues after the expected text.
    Long,
    /// Its text differs: it belongs to another request, or a token is missing or duplicated.
    Foreign,
    /// Its id names another request than the node's `X-Request-Id`.
    WrongRequest,
    /// It can't be parsed.
    Unreadable,
}

impl ResponseCheck {
    /// Creates a check for stand-in responses to `chat`.
    pub fn new(chat: &ChatBody) -> Self {
        let tokens = expected_tokens(chat);
        Self {
            token_count: tokens.len(),
            expected: tokens.concat(),
        }
    }

    /// Checks the text of a response that was delivered as complete.
    pub fn check_text(&self, text: &str) -> Result<(), ResponseFault> {
        if text == self.expected {
            return Ok(());
        }
        if self.expected.starts_with(text) {
            return Err(ResponseFault::Short);
        }
        if text.starts_with(&self.expected) {
            return Err(ResponseFault::Long);
        }
        Err(ResponseFault::Foreign)
    }

    /// Checks a response's id (`chatcmpl-` and the request id) against the request id.
    pub fn check_owner(answer_id: &str, request_id: &str) -> Result<(), ResponseFault> {
        match answer_id.strip_prefix("chatcmpl-") == Some(request_id) {
            true => Ok(()),
            false => Err(ResponseFault::WrongRequest),
        }
    }

    /// Number of tokens in the expected response.
    pub fn token_count(&self) -> usize {
        self.token_count
    }
}
