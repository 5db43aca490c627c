use std::borrow::Cow;

use serde::Deserialize;

/// One chunk of a streamed response in the OpenAI chat format, limited to the fields that the
/// gateway reads.
#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct ChunkWire<'text> {
    #[serde(borrow, default)]
    pub(crate) id: Option<Cow<'text, str>>,
    #[serde(borrow, default)]
    pub(crate) choices: Vec<ChunkChoice<'text>>,
    #[serde(default)]
    pub(crate) usage: Option<UsageWire>,
    /// Position of the first token of the chunk in the response, if the engine numbers its tokens.
    #[serde(default)]
    pub(crate) token_index: Option<u32>,
    /// Number of tokens in the chunk; 1 if the engine reports none.
    #[serde(default)]
    pub(crate) token_count: Option<u32>,
    /// An error that the engine reports in place of a response.
    #[serde(default)]
    pub(crate) error: Option<serde_json::Value>,
}

/// One of the alternative completions in a chunk.
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

/// The text or tool calls that a chunk adds.
#[derive(Debug, Default)]
#[derive(Deserialize)]
pub(crate) struct ChunkDelta<'text> {
    #[serde(borrow, default)]
    pub(crate) content: Option<Cow<'text, str>>,
    #[serde(default)]
    pub(crate) tool_calls: Option<serde_json::Value>,
}

/// Token usage of a request, as counted by the engine.
#[derive(Debug, Default)]
#[derive(Deserialize)]
pub(crate) struct UsageWire {
    /// Tokens of the complete response, including those before a resume.
    #[serde(default)]
    pub(crate) completion_tokens: Option<u32>,
    #[serde(default)]
    pub(crate) prompt_tokens_details: Option<TokenDetails>,
}

/// Breakdown of the prompt tokens.
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
