use ragwortroad_telemetry::prelude::*;
use tokio::time::Instant;

use crate::request_plan::RequestPlan;

/// Silence of the endpoint that sends a stream, while its connection stays open.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamSilence {
    /// When the last data arrived.
    pub(crate) since: Instant,
}

/// How a silence ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SilenceEnd {
    /// The endpoint sent data again.
    SpokeAgain,
    /// Another endpoint resumed the stream.
    Moved,
    /// The endpoint's connection broke, or the deadline passed.
    Broken,
    /// The client disconnected.
    Left,
}

impl SilenceEnd {
    fn label(self) -> &'static str {
        match self {
            Self::SpokeAgain => "spoke_again",
            Self::Moved => "moved",
            Self::Broken => "broken",
            Self::Left => "left",
        }
    }
}

impl StreamSilence {
    /// Logs and counts the end of the silence.
    pub(crate) fn end(self, plan: &RequestPlan, end: SilenceEnd, endpoint: Option<&str>) {
        let outcome = end.label();
        metrics::counter!(metric_names::STREAM_SILENCES, "outcome" => outcome).increment(1);
        tracing::info!(
            request = plan.id,
            outcome,
            endpoint,
            silent_ms = self.since.elapsed().as_millis() as u64,
            "stream silence over"
        );
    }
}
