use serde::Deserialize;

/// The part of a load run's report that a page shows.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct LoadFigures {
    /// Seed of the arrivals.
    pub seed: u64,
    /// Duration of the run in seconds.
    pub seconds: f64,
    /// Number of calls by kind and outcome.
    pub outcomes: Vec<OutcomeFigures>,
    /// Time from a stream's scheduled start to its first token; zero where the report lacks it.
    #[serde(default)]
    pub first_token: LatencyFigures,
    /// Time between two successive tokens; zero where the report lacks it.
    #[serde(default)]
    pub token_gap: LatencyFigures,
    /// Time from a chat request's scheduled start to the end of its answer; zero where the report
    /// lacks it.
    #[serde(default)]
    pub whole_chat: LatencyFigures,
    /// Time from a service call's scheduled start to the end of its answer; zero where the report
    /// lacks it.
    #[serde(default)]
    pub service: LatencyFigures,
    /// Share of cached tokens in the prompts of returning turns.
    pub cache_reuse: f64,
}

/// Number of calls of one kind with one outcome.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct OutcomeFigures {
    /// Kind of the calls, such as `read`.
    pub kind: String,
    /// Outcome of the calls, such as `answered`.
    pub end: String,
    /// Number of these calls.
    pub count: u64,
}

/// Latency percentiles.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize)]
pub struct LatencyFigures {
    /// Number of measured values.
    pub count: u64,
    /// Median, in microseconds.
    pub p50_us: u64,
    /// 95th percentile, in microseconds.
    pub p95_us: u64,
    /// 99th percentile, in microseconds.
    pub p99_us: u64,
}
