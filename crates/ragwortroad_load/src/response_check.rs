use ragwortroad_standin::expected_tokens;
use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

/// Tells whether an answer is whole and the caller's own.
pub struct ResponseCheck {
    /// The only right answer.
    expected: String,
    /// Where each of its tokens ends.
    token_count: usize,
}

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseFault {
    /// It ends early, yet was given as whole.
    Short,
    /// It is longer than the answer.
    Long,
    /// It has other text than the answer: another's, or with a token missing or twice.
    Foreign,
    /// It names another request than the node did.
    WrongRequest,
    /// It is not in the format.
    Unreadable,
}

impl ResponseCheck {
    /// A check for answers to `chat` by stand-ins.
    pub fn new(chat: &ChatBody) -> Self {
        let tokens = expected_tokens(chat);
        Self {
            token_count: tokens.len(),
            expected: tokens.concat(),
        }
    }

    /// Checks the text of an answer that was given as whole.
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

    /// Checks an answer's own identity against the request's.
    pub fn check_owner(answer_id: &str, request_id: &str) -> Result<(), ResponseFault> {
        match answer_id.strip_prefix("chatcmpl-") == Some(request_id) {
            true => Ok(()),
            false => Err(ResponseFault::WrongRequest),
        }
    }

    /// Tokens in the right answer.
    pub fn token_count(&self) -> usize {
        self.token_count
    }
}
