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

/// Functions that translate between the edge and the protocol of clients and endpoints.
///
/// The platform supplies them. They hold all names and formats of that protocol and make no
/// decisions.
#[derive(Clone, Copy, Debug)]
pub struct EdgePort {
    /// Parses the headers of a client's request.
    pub parse_request: fn(&HeaderMap) -> RequestMetadata,
    /// Rewrites a client's headers into the ones sent to an endpoint.
    pub rewrite_headers: fn(&mut HeaderMap, &ForwardMetadata<'_>),
    /// Parses the status and headers of an endpoint's response.
    pub parse_response: fn(StatusCode, &HeaderMap) -> ResponseMetadata,
    /// Parses a configuration document.
    pub decode_config: fn(&[u8]) -> Result<SiteConfig, ConfigFault>,
    /// Whether a request is a readiness probe of this edge.
    pub is_readiness_probe: fn(&Method, &Uri) -> bool,
}

/// Metadata from the headers of a client's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id of this attempt, chosen by the client; `None` if it sent none.
    pub id: Option<String>,
    /// Time until the client gives up; `None` if it sent no deadline.
    pub time_left: Option<Duration>,
    /// API key that identifies the customer; `None` if it sent none.
    pub api_key: Option<String>,
    /// Id of the last event that the client received; the stream resumes after it.
    pub last_event_id: Option<u64>,
    /// Id of the attempt that brought the first event of the stream to be resumed; `None` if the
    /// client names none.
    pub resumes: Option<String>,
    /// Name of the model that runs the prompt; `None` if the client names none.
    pub model: Option<String>,
    /// Parts of the prompt, in order; all but the last may be shared with other requests.
    pub prompt_parts: Vec<PromptPart>,
    /// Number of prompt tokens; zero if unknown.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens; zero if unknown.
    pub max_output_tokens: u32,
    /// Client's estimate of the output tokens, right at the median and often far off; `None` if it
    /// sent none.
    pub output_hint: Option<u32>,
}

impl RequestMetadata {
    /// Key of the prompt prefix shared with other requests; `None` if there is none.
    pub fn shared_prefix(&self) -> Option<u64> {
        let parts: Vec<u64> = self.prompt_parts.iter().map(|part| part.key).collect();
        shared_prefix_key(&parts)
    }

    /// Ids of the parts of the prompt that other requests may share, for logs.
    pub fn shared_parts_text(&self) -> String {
        let ids = self.shared_parts().iter();
        let ids = ids.map(|part| format!("{:x}", part.key));
        ids.collect::<Vec<_>>().join(",")
    }

    /// Parts of the prompt that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let parts = self.prompt_parts.split_last();
        parts.map_or(&[], |(_, shared)| shared)
    }

    /// Number of tokens in the shared prompt prefix.
    pub fn shared_prefix_tokens(&self) -> u32 {
        self.shared_parts()
            .iter()
            .fold(0, |total, part| total.saturating_add(part.tokens))
    }
}

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part's text.
    pub key: u64,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// Metadata that the edge adds to a request for an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ForwardMetadata<'a> {
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Name of the intended endpoint, so that another one at the same address rejects the request.
    pub endpoint: &'a str,
    /// Customer who sent the request; `None` if unidentified.
    pub customer: Option<&'a str>,
    /// Priority at a model engine; `None` if not sent.
    pub rank: Option<u8>,
    /// Id of the event after which the stream resumes.
    pub last_event_id: Option<u64>,
    /// Address of the engine from which the target copies the shared prefix if it does not have it
    /// cached.
    pub prefix_source: Option<SocketAddr>,
}

/// Metadata from the headers of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Id of the request that it responds to.
    pub id: Option<String>,
    /// Whether it carries the endpoint's signature.
    pub is_signed: bool,
    /// Whether it carries several ids or signatures that differ.
    pub is_ambiguous: bool,
    /// Whether the endpoint states that it did not run the request.
    pub is_not_run: bool,
    /// Time for which a refusing endpoint wants no further request from this edge; `None` if it does
    /// not ask for any.
    pub rest: Option<Duration>,
    /// Whether the endpoint states that it leaves and takes no new request.
    pub is_leaving: bool,
    /// Rejections in a second that the endpoint bears before it fails; `None` if it is not brittle.
    pub brittle_limit: Option<u32>,
    /// Whether another endpoint than the intended one responded.
    pub is_misdirected: bool,
    /// Whether the body is a stream of server-sent events.
    pub is_event_stream: bool,
    /// Whether the body has a content encoding, although the edge requests none.
    pub is_encoded: bool,
    /// Load reported by the endpoint.
    pub load: Option<LoadReading>,
    /// Time for which the endpoint keeps an idle connection open; `None` if not announced.
    pub keep_alive_timeout: Option<Duration>,
    /// Whether the endpoint closes the connection after this response.
    pub is_closing: bool,
}
