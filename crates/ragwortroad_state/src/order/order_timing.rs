use std::time::Duration;

/// Parameters of the time that a new lease holder waits before it sends orders.
///
/// With lease duration `L`, largest drift `r` of any clock against real time, and `D` the longest
/// time from the holder's lease check to the order's effect at the endpoint:
///
/// * The old holder sends orders only while its own clock shows less than `L` since it last sent a
///   request to the quorum, which is at most `L / (1 - r)` of real time; the order takes effect `D`
///   later.
/// * The old holder last sent a request to the quorum before the new holder was elected.
/// * A new holder that waits `W` on its own clock waits at least `W / (1 + r)` of real time.
///
/// So `W >= (1 + r) * (L / (1 - r) + D)` puts every order of the old holder before every order of
/// the new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderTiming {
    /// Time for which a leader may rely on its leadership after it last sent a request to a quorum.
    pub lease: Duration,
    /// Largest drift of a clock, in parts per million.
    pub drift_ppm: u32,
    /// Longest time from the lease check to the order's effect: the sender's time between check and
    /// write, the connection timeout, and the endpoint's own queue.
    pub max_delivery_delay: Duration,
}

impl Default for OrderTiming {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(1500),
            drift_ppm: 1000,
            max_delivery_delay: Duration::from_secs(10),
        }
    }
}

impl OrderTiming {
    /// Returns how long a new holder waits, on its own clock, before it sends orders to endpoints
    /// that ignore fencing tokens; rounded up to a millisecond.
    pub fn new_holder_wait(&self) -> Duration {
        let drift = u128::from(self.drift_ppm.min(MAX_DRIFT_PPM));
        let lease = self.lease.as_micros() * MILLION;
        let true_lease = lease.div_ceil(MILLION - drift);
        let total = (true_lease + self.max_delivery_delay.as_micros()) * (MILLION + drift);
        let micros = total.div_ceil(MILLION);
        Duration::from_millis(u64::try_from(micros.div_ceil(1000)).unwrap_or(u64::MAX))
    }
}

pub(crate) const MILLION: u128 = 1_000_000;

/// 50%: no usable clock drifts this much.
pub(crate) const MAX_DRIFT_PPM: u32 = 500_000;
