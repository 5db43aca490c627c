use serde::{
    Deserialize,
    Serialize, //
};

use serde_json::{
    Map,
    Value, //
};

/// A model request's body in the OpenAI chat format, as far as the fleet reads it.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ChatBody {
    /// The model's name, followed by `:adapter` where an adapter is wanted.
    pub model: String,
    /// The chat so far, oldest first.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is wanted as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Upper bound of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// The chat that the request continues, as the caller names it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub chat_id: Option<String>,
    /// Tokens that the caller has already; the engine goes on behind them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume_from: Option<u32>,
    /// The text of those tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume_text: Option<String>,
    /// Every other field, unread.
    #[serde(flatten)]
    pub others: Map<String, Value>,
}

/// One message of a chat.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ChatMessage {
    /// Who speaks: `system`, `user`, `assistant` or `tool`.
    pub role: String,
    /// The text, or a list of parts.
    #[serde(default)]
    pub content: Value,
    /// Every other field, unread.
    #[serde(flatten)]
    pub others: Map<String, Value>,
}

impl ChatMessage {
    /// A message that is plain text.
    pub fn text(role: &str, text: &str) -> Self {
        Self {
            role: role.to_owned(),
            content: Value::String(text.to_owned()),
            others: Map::new(),
        }
    }
}

impl ChatBody {
    /// The chat as one text, in which a longer chat begins with each shorter one.
    ///
    /// Nodes and engines compute prefix keys over this text, so both must make it the same way.
    pub fn prompt_text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        for message in &self.messages {
            text.extend_from_slice(message.role.as_bytes());
            text.push(b'\n');
            match &message.content {
                Value::String(content) => text.extend_from_slice(content.as_bytes()),
                Value::Null => {}
                parts => text.extend_from_slice(parts.to_string().as_bytes()),
            }
            text.push(b'\n');
        }
        text
    }

    /// The model's name and the adapter's, if one is named.
    pub fn model_parts(&self) -> (&str, Option<&str>) {
        match self.model.split_once(':') {
            Some((model, adapter)) => (model, Some(adapter)),
            None => (&self.model, None),
        }
    }
}
