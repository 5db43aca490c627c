use std::borrow::Cow;

use serde::Deserialize;

/// One chunk of a streamed answer in the OpenAI chat format, as far as the gateway reads it.
#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct ChunkWire<'text> {
    #[serde(borrow, default)]
    pub(crate) id: Option<Cow<'text, str>>,
    #[serde(borrow, default)]
    pub(crate) choices: Vec<ChunkChoice<'text>>,
    #[serde(default)]
    pub(crate) usage: Option<UsageWire>,
    /// Position of the chunk's first token in the answer, where the engine numbers them.
    #[serde(default)]
    pub(crate) token_index: Option<u32>,
    /// Tokens in the chunk, where the engine says so; else one.
    #[serde(default)]
    pub(crate) token_count: Option<u32>,
    /// An error of the engine's in place of an answer.
    #[serde(default)]
    pub(crate) error: Option<serde_json::Value>,
}

/// One choice of a chunk.
#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct ChunkChoice<'text> {
    #[serde(default)]
    pub(crate) index: u32,
    #[serde(borrow, default)]
    pub(crate) delta: ChunkDelta<'text>,
    #[serde(borrow, default)]
    pub(crate) finish_reason: Option<Cow<'text, str>>,
}

/// What a chunk adds.
#[derive(Debug, Default)]
#[derive(Deserialize)]
pub(crate) struct ChunkDelta<'text> {
    #[serde(borrow, default)]
    pub(crate) content: Option<Cow<'text, str>>,
    #[serde(default)]
    pub(crate) tool_calls: Option<serde_json::Value>,
}

/// What a request cost, as the engine counts.
#[derive(Debug, Default)]
#[derive(Deserialize)]
pub(crate) struct UsageWire {
    /// Tokens of the whole answer, for a resumed stream as well.
    #[serde(default)]
    pub(crate) completion_tokens: Option<u32>,
    #[serde(default)]
    pub(crate) prompt_tokens_details: Option<TokenDetails>,
}

/// How the prompt's tokens were got.
#[derive(Debug, Default)]
#[derive(Deserialize)]
pub(crate) struct TokenDetails {
    #[serde(default)]
    pub(crate) cached_tokens: Option<u32>,
}

impl UsageWire {
    pub(crate) fn cached_tokens(&self) -> Option<u32> {
        self.prompt_tokens_details.as_ref()?.cached_tokens
    }
}
