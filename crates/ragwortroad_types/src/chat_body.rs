use serde::{
    Deserialize,
    Serialize, //
};

use serde_json::{
    Map,
    Value, //
};

/// The body of a model request in the OpenAI chat format, with the fields that the fleet
/// interprets.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ChatBody {
    /// Name of the model, followed by `:adapter` if an adapter is requested.
    pub model: String,
    /// The messages of the chat, oldest first.
    pub messages: Vec<ChatMessage>,
    /// Whether the response is to be streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Limit on the tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// The client's ID of the chat that this request continues.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub chat_id: Option<String>,
    /// Number of tokens that the client has already received; the engine continues after them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume_from: Option<u32>,
    /// The text of those tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume_text: Option<String>,
    /// All other fields, passed through unread.
    #[serde(flatten)]
    pub others: Map<String, Value>,
}

/// One message of a chat.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ChatMessage {
    /// Author of the message: `system`, `user`, `assistant` or `tool`.
    pub role: String,
    /// The text, or a list of content parts.
    #[serde(default)]
    pub content: Value,
    /// All other fields, passed through unread.
    #[serde(flatten)]
    pub others: Map<String, Value>,
}

impl ChatMessage {
    /// Creates a message with plain text.
    pub fn text(role: &str, text: &str) -> Self {
        Self {
            role: role.to_owned(),
            content: Value::String(text.to_owned()),
            others: Map::new(),
        }
    }
}

impl ChatBody {
    /// Returns the chat as one text, such that the text of a longer chat begins with that of each
    /// shorter one.
    ///
    /// Nodes and engines compute prefix keys over this text, so both must build it in the same way.
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

    /// Returns the name of the model, and that of the adapter if one is requested.
    pub fn model_parts(&self) -> (&str, Option<&str>) {
        match self.model.split_once(':') {
            Some((model, adapter)) => (model, Some(adapter)),
            None => (&self.model, None),
        }
    }
}
