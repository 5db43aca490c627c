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

/// One event, as far as a caller reads it.
#[derive(Debug)]
pub(crate) enum StreamEvent {
    /// A chunk of the answer.
    Chunk(StreamChunk),
    /// The final marker.
    Done,
    /// A refusal in place of the rest.
    Refusal(RefusalWire),
    /// Something else, or the end without a marker.
    Broken(String),
}

/// A chunk of an answer.
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

/// A chunk's choice.
#[derive(Debug, Default)]
#[derive(Deserialize)]
struct StreamChoice {
    #[serde(default)]
    delta: StreamDelta,
}

/// What a chunk adds.
#[derive(Debug, Default)]
#[derive(Deserialize)]
struct StreamDelta {
    #[serde(default)]
    content: Option<String>,
}

/// What an answer cost.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
pub(crate) struct TokenUsage {
    #[serde(default)]
    pub(crate) prompt_tokens: u32,
    #[serde(default)]
    prompt_tokens_details: Option<PromptTokenDetails>,
}

/// How much of a prompt was in a cache.
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

    /// The next event; a stream that ends here is broken, since the final marker was not read.
    pub(crate) fn next_event(&mut self) -> StreamEvent {
        let mut line = String::new();
        loop {
            line.clear();
            match self.lines.read_line(&mut line) {
                Ok(0) => return StreamEvent::Broken("no final marker".to_owned()),
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
