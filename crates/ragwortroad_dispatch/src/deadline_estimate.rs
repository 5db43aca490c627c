use std::time::Duration;

/// Quantile of the time left that counts as the initial deadline.
///
/// In a long overload most requests are retries, so the median would reflect their remaining time;
/// up to a tenth of the clients may set longer deadlines without making all others appear to be
/// late.
const DEADLINE_QUANTILE: f64 = 0.9;

/// Relative step of the estimate per request.
const STEP_RATIO: f64 = 0.01;

/// Estimate of the initial deadline of a route's clients, derived from the time left on their
/// requests.
///
/// A rejected client that retries sends its remaining time, which is the only sign that tells it
/// from a new client. When there is not enough capacity for all, priority depends on who can still
/// be served within the latency target.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeadlineEstimate {
    /// Seconds; `None` before the first request.
    seconds: Option<f64>,
}

impl DeadlineEstimate {
    /// Records a request with `time_left`; returns how long its client has already waited
    /// elsewhere.
    pub fn note(&mut self, time_left: Duration) -> Duration {
        let left = time_left.as_secs_f64();
        let estimate = *self.seconds.get_or_insert(left);
        let step = estimate * STEP_RATIO;
        let moved = match left > estimate {
            true => (estimate + step * DEADLINE_QUANTILE).min(left),
            false => (estimate - step * (1.0 - DEADLINE_QUANTILE)).max(left),
        };
        self.seconds = Some(moved);
        Duration::from_secs_f64((estimate - left).max(0.0))
    }
}
