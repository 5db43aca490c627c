use crate::{
    EndpointKey,
    EngineRule,
    endpoint_selection::FAILING_SHARE, //
};

/// Tokens that an engine reads in a millisecond, at the least.
///
/// Engines of today read about a hundred. It is only compared with how fast memory moves between
/// engines, which is some forty times that where links are made for it, so a rough figure will do.
const READING_PACE: f64 = 100.0;

/// Shared tokens below which an engine reads for itself.
///
/// They take it two milliseconds, as long as two engines need to agree on a transfer.
const LEAST_TOKENS: u32 = 256;

/// An engine that holds a text which another one lacks.
#[derive(Clone, Copy, Debug)]
pub struct PrefixSource {
    /// Whom it stands for.
    pub key: EndpointKey,
    /// Whether it is in the failure domain of the engine that lacks the text.
    pub is_near: bool,
    /// Requests that are there by the best knowledge here.
    pub load: u32,
    /// Share of its requests that failed lately, from 0 to 1.
    pub failure_rate: f64,
}

/// The engine from which another one copies `tokens` of shared text, if that is worth it.
///
/// A text overflows to a second engine when the first has too much to do, and moves when an engine
/// leaves. Read anew, ten thousand tokens hold up the new engine for 90 ms, the first event of the
/// request and every stream beside it; copied over a link of 1.1 Tbit/s they take 3 ms. Answers
/// sites with long shared texts whose engines come, go and fill up. A source that leaves is as good
/// as any: it is there until its own requests are done.
pub fn choose_source(
    sources: &[PrefixSource],
    tokens: u32,
    engine: &EngineRule,
) -> Option<EndpointKey> {
    if tokens < LEAST_TOKENS || moving_pace(engine) <= READING_PACE {
        return None;
    }
    // An engine that fails requests still has its memory; it is asked where no other one can be.
    // Domains are some milliseconds apart, which counts twice for a transfer.
    let best = sources.iter().min_by_key(|source| {
        let is_failing = source.failure_rate >= FAILING_SHARE;
        (is_failing, !source.is_near, source.load, source.key)
    });
    best.map(|source| source.key)
}

/// Tokens whose memory goes from one engine to another in a millisecond; zero where none can.
fn moving_pace(engine: &EngineRule) -> f64 {
    if engine.token_bytes <= 0.0 {
        return 0.0;
    }
    let bytes_a_millisecond = engine.link_mbps * 1e3 / 8.0;
    bytes_a_millisecond / engine.token_bytes
}
