use std::time::Duration;

/// What the wait of a new holder is worked out from.
///
/// With lease length `L`, largest drift `r` of any clock against true time, and `D` the longest
/// time from the check of the own lease to the order's effect at the endpoint:
///
/// * The old holder sends only while its own clock shows less than `L` since it last asked the
///   quorum, which is at most `L / (1 - r)` of true time; the order has its effect `D` later.
/// * It last asked the quorum before the new holder was elected.
/// * A new holder that waits `W` by its own clock waits at least `W / (1 + r)` of true time.
///
/// So `W >= (1 + r) * (L / (1 - r) + D)` puts every order of the old holder before every order of
/// the new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderTiming {
    /// How long the leader may count on its lead after it last asked a quorum.
    pub lease: Duration,
    /// Largest drift of a clock, in millionths.
    pub drift_ppm: u32,
    /// Longest time from the check of the lease to the order's effect: what the sender may take
    /// between check and write, the connection's timeout, and the endpoint's own queue.
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
    /// How long a new holder waits, by its own clock, before it gives orders to endpoints that
    /// ignore fencing numbers; rounded up to a millisecond.
    pub fn new_holder_wait(&self) -> Duration {
        let drift = u128::from(self.drift_ppm.min(MAX_DRIFT_PPM));
        let lease = self.lease.as_micros() * MILLION;
        let true_lease = lease.div_ceil(MILLION - drift);
        let span = (true_lease + self.max_delivery_delay.as_micros()) * (MILLION + drift);
        let micros = span.div_ceil(MILLION);
        Duration::from_millis(u64::try_from(micros.div_ceil(1000)).unwrap_or(u64::MAX))
    }
}

pub(crate) const MILLION: u128 = 1_000_000;

/// Half of true time: no clock that is of any use drifts as much.
pub(crate) const MAX_DRIFT_PPM: u32 = 500_000;
