use std::time::Duration;

/// Part of a route's callers that have no more time left than what counts as usual.
///
/// Under a long overload most requests are from callers who come back, so the middle would tell
/// their time; a tenth may ask for any time they like without making all others seem late.
const USUAL_QUANTILE: f64 = 0.9;

/// Step of the estimate with each request, as a part of it.
const STEP_PART: f64 = 0.01;

/// How long callers of one route wait at first, learned from the times that they send.
///
/// A caller that was refused and comes back names the rest of its time. Nothing else tells it from
/// a new one, and when there is not room for all, it matters who can still be served within the aim.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeadlineEstimate {
    /// Seconds; nothing before the first request.
    seconds: Option<f64>,
}

impl DeadlineEstimate {
    /// Notes a request with `time_left`; returns how long its caller has waited elsewhere.
    pub fn note(&mut self, time_left: Duration) -> Duration {
        let left = time_left.as_secs_f64();
        let usual = *self.seconds.get_or_insert(left);
        let step = usual * STEP_PART;
        let moved = match left > usual {
            true => (usual + step * USUAL_QUANTILE).min(left),
            false => (usual - step * (1.0 - USUAL_QUANTILE)).max(left),
        };
        self.seconds = Some(moved);
        Duration::from_secs_f64((usual - left).max(0.0))
    }
}
