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

/// The latency histograms of one client thread or of the whole run, in microseconds.
pub(crate) struct LatencySet {
    pub(crate) first_token: Histogram<u64>,
    pub(crate) token_gap: Histogram<u64>,
    pub(crate) whole_chat: Histogram<u64>,
    pub(crate) service: Histogram<u64>,
}

/// Highest value that a histogram can hold, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Summary of one latency histogram, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LatencySummary {
    /// Number of recorded values.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 95th percentile.
    pub p95_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Maximum.
    pub max_us: u64,
}

impl LatencySet {
    pub(crate) fn new() -> Result<Self, LoadError> {
        let new_histogram =
            || Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).context(HistogramSnafu);
        Ok(Self {
            first_token: new_histogram()?,
            token_gap: new_histogram()?,
            whole_chat: new_histogram()?,
            service: new_histogram()?,
        })
    }

    pub(crate) fn merge(&mut self, other: &Self) {
        let pairs = [
            (&mut self.first_token, &other.first_token),
            (&mut self.token_gap, &other.token_gap),
            (&mut self.whole_chat, &other.whole_chat),
            (&mut self.service, &other.service),
        ];
        for (histogram, other) in pairs {
            // Adding can't fail, since all histograms have the same bounds.
            if histogram.add(other).is_err() {
                tracing::error!("cannot merge latency histograms with different bounds");
            }
        }
    }
}

/// Records a duration, clamped to the range of the histogram.
pub(crate) fn record_latency(histogram: &mut Histogram<u64>, time: Duration) {
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
