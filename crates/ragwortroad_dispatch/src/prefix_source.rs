use crate::{
    EndpointKey,
    EngineRule,
    endpoint_selection::FAILING_THRESHOLD, //
};

/// Prefill speed of an engine in tokens per millisecond, as a lower bound.
///
/// Current engines reach about a hundred. The value is only compared with the speed of cache
/// transfers between engines, which is some forty times as high over dedicated links, so a rough
/// figure suffices.
const PREFILL_TOKENS_PER_MS: f64 = 100.0;

/// Number of shared tokens below which an engine computes the prefix itself.
///
/// Computing them takes two milliseconds, as long as two engines need to negotiate a transfer.
const MIN_TRANSFER_TOKENS: u32 = 256;

/// An engine that holds a prefix which another engine lacks.
#[derive(Clone, Copy, Debug)]
pub struct PrefixSource {
    /// Key of the engine.
    pub key: EndpointKey,
    /// Whether it is in the failure domain of the engine that lacks the prefix.
    pub is_near: bool,
    /// Estimated requests at the engine.
    pub load: u32,
    /// Recent failure rate, from 0 to 1.
    pub failure_rate: f64,
}

/// Chooses the engine to copy a shared prefix of `tokens` tokens from, or returns `None` if
/// computing it is faster.
///
/// A prefix overflows to a second engine when the first one is overloaded, and moves when an engine
/// leaves. Computing ten thousand tokens again delays the new engine by 90 ms, both the first event
/// of the request and all concurrent streams; copying them over a link of 1.1 Tbit/s takes 3 ms.
/// This suits sites with long shared prefixes whose engines come, go and fill up. A draining engine
/// is a valid source, since it stays up until its own requests are done.
pub fn choose_source(
    sources: &[PrefixSource],
    tokens: u32,
    engine: &EngineRule,
) -> Option<EndpointKey> {
    if tokens < MIN_TRANSFER_TOKENS || transfer_tokens_per_ms(engine) <= PREFILL_TOKENS_PER_MS {
        return None;
    }
    // A failing engine still has its cache, so it is the last resort. Domains are some milliseconds
    // apart, and a transfer takes that latency twice.
    let best = sources.iter().min_by_key(|source| {
        let is_failing = source.failure_rate >= FAILING_THRESHOLD;
        (is_failing, !source.is_near, source.load, source.key)
    });
    best.map(|source| source.key)
}

/// Returns the number of tokens whose cache entries can be transferred between engines per
/// millisecond; 0 if transfers are not available.
fn transfer_tokens_per_ms(engine: &EngineRule) -> f64 {
    if engine.token_bytes <= 0.0 {
        return 0.0;
    }
    let bytes_per_ms = engine.link_mbps * 1e3 / 8.0;
    bytes_per_ms / engine.token_bytes
}
