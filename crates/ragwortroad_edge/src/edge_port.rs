use std::{
    net::SocketAddr,
    time::Duration, //
};

use hyper::{
    HeaderMap,
    Method,
    StatusCode,
    Uri, //
};
use ragwortroad_dispatch::prelude::*;

/// How callers and endpoints speak to an edge.
///
/// Names and formats of the outside live behind these functions, which decide nothing.
#[derive(Clone, Copy, Debug)]
pub struct EdgePort {
    /// Reads a caller's request.
    pub parse_request: fn(&HeaderMap) -> RequestMetadata,
    /// Makes a caller's headers into those that an endpoint gets.
    pub rewrite_headers: fn(&mut HeaderMap, &ForwardMetadata<'_>),
    /// Reads an endpoint's answer.
    pub parse_response: fn(StatusCode, &HeaderMap) -> ResponseMetadata,
    /// Reads a configuration document.
    pub decode_config: fn(&[u8]) -> Result<SiteConfig, ConfigFault>,
    /// Whether this asks if the edge is ready.
    pub is_readiness_probe: fn(&Method, &Uri) -> bool,
}

/// What a caller's headers say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Identity of this attempt of the caller's.
    pub id: Option<String>,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
    /// The caller's key.
    pub api_key: Option<String>,
    /// The event behind which a stream is to go on.
    pub last_event_id: Option<u64>,
    /// Parts of the prompt, in order; the last one is the request's own.
    pub prompt_parts: Vec<PromptPart>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_output_tokens: u32,
}

impl RequestMetadata {
    /// Key of the text that the request shares with others.
    pub fn shared_prefix(&self) -> Option<u64> {
        let parts: Vec<u64> = self.prompt_parts.iter().map(|part| part.key).collect();
        shared_prefix_key(&parts)
    }

    /// Tokens of the prompt that the request shares with others.
    pub fn shared_prefix_tokens(&self) -> u32 {
        let shared = self
            .prompt_parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        shared
            .iter()
            .fold(0, |total, part| total.saturating_add(part.tokens))
    }
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of its text.
    pub key: u64,
    /// Its length.
    pub tokens: u32,
}

/// What an endpoint is told beside the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct ForwardMetadata<'a> {
    /// Time that is left for the request.
    pub time_left: Duration,
    /// The endpoint that is meant, so that another one at its address refuses.
    pub endpoint: &'a str,
    /// Whose request it is.
    pub customer: Option<&'a str>,
    /// Urgency at a model engine.
    pub rank: Option<u8>,
    /// The event behind which the stream goes on.
    pub last_event_id: Option<u64>,
    /// Where the engine copies shared text from that it has not read.
    pub prefix_source: Option<SocketAddr>,
}

/// What an endpoint's headers say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// The request that it answers.
    pub id: Option<String>,
    /// Whether it carries the endpoint's signature.
    pub is_signed: bool,
    /// Whether the endpoint says that it did not run the request.
    pub is_not_run: bool,
    /// Whether another endpoint answered than the one meant.
    pub is_misdirected: bool,
    /// Whether the body is a series of events.
    pub is_event_stream: bool,
    /// Whether the body is encoded, which none was asked to be.
    pub is_encoded: bool,
    /// The endpoint's load.
    pub load: Option<LoadReading>,
    /// How long the endpoint keeps the connection without a request.
    pub keep_alive_timeout: Option<Duration>,
    /// Whether the endpoint closes the connection.
    pub is_closing: bool,
}
