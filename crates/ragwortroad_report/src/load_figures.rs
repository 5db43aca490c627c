use serde::Deserialize;

/// What a page shows of a load run's report.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct LoadFigures {
    /// The seed of its arrivals.
    pub seed: u64,
    /// How long it took.
    pub seconds: f64,
    /// Calls by what they were and how they ended.
    pub outcomes: Vec<OutcomeFigures>,
    /// From when a stream was due to its first token.
    #[serde(default)]
    pub first_token: LatencyFigures,
    /// Between two tokens.
    #[serde(default)]
    pub token_gap: LatencyFigures,
    /// From when a chat was due to its whole answer.
    #[serde(default)]
    pub whole_chat: LatencyFigures,
    /// From when a service call was due to its whole answer.
    #[serde(default)]
    pub service: LatencyFigures,
    /// Of the prompt tokens of returning turns, the part that was cached.
    pub cache_reuse: f64,
}

/// How many calls of one kind ended in one way.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct OutcomeFigures {
    /// What they were.
    pub kind: String,
    /// How they ended.
    pub end: String,
    /// How many.
    pub count: u64,
}

/// Percentiles in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize)]
pub struct LatencyFigures {
    /// Values counted.
    pub count: u64,
    /// Half are at most this.
    pub p50_us: u64,
    /// 95 of 100 are at most this.
    pub p95_us: u64,
    /// 99 of 100 are at most this.
    pub p99_us: u64,
}
