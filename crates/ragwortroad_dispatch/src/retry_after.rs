use std::time::Duration;

/// Shortest delay before a retry.
///
/// A momentary surge is over by then, and a latency target of half a second can still be met.
const MIN_DELAY: Duration = Duration::from_millis(160);

/// Largest share of the time left until the deadline that the delay may take.
///
/// Clients honor a delay up to a third of their remaining time; with a longer one they retry
/// whenever they choose.
const MAX_DEADLINE_SHARE: f64 = 0.3;

/// Range of the random factor of the delay, which keeps clients that are rejected together from
/// retrying together.
const JITTER_RANGE: (f64, f64) = (0.5, 1.5);

/// Returns the delay after which a rejected client should retry; `draw` is a random number between
/// 0 and 1.
///
/// An overload that has lasted for some time is likely to last as long again, and clients retry
/// only once or twice, so one that retries too early is rejected for good. The delay therefore
/// grows with the time for which requests have been shed (`shedding`), within the client's
/// deadline.
pub fn retry_after_delay(shedding: Duration, time_left: Duration, draw: f64) -> Duration {
    let (least, most) = JITTER_RANGE;
    let drawn = (MIN_DELAY + shedding).mul_f64(least + (most - least) * draw);
    let longest = time_left.mul_f64(MAX_DEADLINE_SHARE);
    // Spreads the delays over the upper half of the range instead of clamping them to one value.
    match drawn > longest {
        true => longest.mul_f64(0.5 + draw / 2.0),
        false => drawn,
    }
}
