use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{
    Deserialize,
    Serialize, //
};
use snafu::ResultExt;

use crate::{
    LoadError,
    load_error::HistogramSnafu, //
};

/// The histograms of one caller, or of all of them together. In microseconds.
pub(crate) struct LatencySet {
    pub(crate) first_token: Histogram<u64>,
    pub(crate) token_gap: Histogram<u64>,
    pub(crate) whole_chat: Histogram<u64>,
    pub(crate) service: Histogram<u64>,
}

/// Longest time that a histogram tells apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// One histogram in a few figures, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LatencySummary {
    /// Values counted.
    pub count: u64,
    /// Half of them are at most this.
    pub p50_us: u64,
    /// 95 of 100 are at most this.
    pub p95_us: u64,
    /// 99 of 100 are at most this.
    pub p99_us: u64,
    /// The highest.
    pub max_us: u64,
}

impl LatencySet {
    pub(crate) fn new() -> Result<Self, LoadError> {
        let make = || Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).context(HistogramSnafu);
        Ok(Self {
            first_token: make()?,
            token_gap: make()?,
            whole_chat: make()?,
            service: make()?,
        })
    }

    pub(crate) fn merge(&mut self, other: &Self) {
        let pairs = [
            (&mut self.first_token, &other.first_token),
            (&mut self.token_gap, &other.token_gap),
            (&mut self.whole_chat, &other.whole_chat),
            (&mut self.service, &other.service),
        ];
        for (own, theirs) in pairs {
            // All have the same bounds, so nothing can be out of them.
            if own.add(theirs).is_err() {
                tracing::error!("histograms of different bounds");
            }
        }
    }
}

/// Counts a time, as the longest that can be told apart where it is longer.
pub(crate) fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    histogram.saturating_record(micros.clamp(1, MAX_LATENCY_US));
}

impl From<&Histogram<u64>> for LatencySummary {
    fn from(histogram: &Histogram<u64>) -> Self {
        Self {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.5),
            p95_us: histogram.value_at_quantile(0.95),
            p99_us: histogram.value_at_quantile(0.99),
            max_us: histogram.max(),
        }
    }
}
