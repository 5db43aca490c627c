use std::io::{
    BufRead,
    BufReader,
    Read, //
};

use ragwortroad_types::prelude::*;
use serde::Deserialize;

/// Reads server-sent events from a byte stream, one at a time.
pub(crate) struct EventReader<Bytes: Read> {
    lines: BufReader<Bytes>,
}

/// One event of a chat stream, with the fields that the client uses.
#[derive(Debug)]
pub(crate) enum StreamEvent {
    /// A chunk of the response.
    Chunk(StreamChunk),
    /// The final `[DONE]` marker.
    Done,
    /// A refusal that replaces the rest of the response.
    Refusal(RefusalWire),
    /// An invalid event, a read error, or the end of the stream without the final marker.
    Broken(String),
}

/// A chunk of a streamed response.
#[derive(Debug, Default)]
#[derive(Deserialize)]
pub(crate) struct StreamChunk {
    #[serde(default)]
    pub(crate) id: String,
    #[serde(default)]
    choices: Vec<StreamChoice>,
    #[serde(default)]
    pub(crate) usage: Option<TokenUsage>,
}

/// One choice of a chunk.
#[derive(Debug, Default)]
#[derive(Deserialize)]
struct StreamChoice {
    #[serde(default)]
    delta: StreamDelta,
}

/// The text that a chunk adds.
#[derive(Debug, Default)]
#[derive(Deserialize)]
struct StreamDelta {
    #[serde(default)]
    content: Option<String>,
}

/// Token usage of a response.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
pub(crate) struct TokenUsage {
    #[serde(default)]
    pub(crate) prompt_tokens: u32,
    #[serde(default)]
    prompt_tokens_details: Option<PromptTokenDetails>,
}

/// Details of the prompt tokens in a [`TokenUsage`].
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
struct PromptTokenDetails {
    #[serde(default)]
    cached_tokens: u32,
}

impl TokenUsage {
    pub(crate) fn cached_tokens(self) -> u32 {
        self.prompt_tokens_details
            .map_or(0, |details| details.cached_tokens)
    }
}

impl StreamChunk {
    pub(crate) fn content(&self) -> Option<&str> {
        self.choices.first()?.delta.content.as_deref()
    }
}

impl<Bytes: Read> EventReader<Bytes> {
    pub(crate) fn new(bytes: Bytes) -> Self {
        Self {
            lines: BufReader::new(bytes),
        }
    }

    /// Reads the next event; returns [`StreamEvent::Broken`] if the stream ends, since the final
    /// marker has not been read.
    pub(crate) fn next_event(&mut self) -> StreamEvent {
        let mut line = String::new();
        loop {
            line.clear();
            match self.lines.read_line(&mut line) {
                Ok(0) => return StreamEvent::Broken("missing [DONE]".to_owned()),
                Ok(_) => {}
                Err(error) => return StreamEvent::Broken(error.to_string()),
            }
            if let Some(data) = line.strip_prefix("data:") {
                return read_event(data.trim());
            }
        }
    }
}

fn read_event(data: &str) -> StreamEvent {
    if data == "[DONE]" {
        return StreamEvent::Done;
    }
    if let Ok(refusal) = serde_json::from_str::<RefusalWire>(data) {
        return StreamEvent::Refusal(refusal);
    }
    match serde_json::from_str(data) {
        Ok(chunk) => StreamEvent::Chunk(chunk),
        Err(error) => StreamEvent::Broken(error.to_string()),
    }
}
