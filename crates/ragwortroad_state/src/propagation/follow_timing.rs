use std::time::Duration;

use crate::order::order_timing::{
    MAX_DRIFT_PPM, //
    MILLION,
};

/// Durations that bound how long a change takes to be in force everywhere.
///
/// With follow bound `B`, quorum-loss grace period `G`, largest drift `r` of any clock against real
/// time, and leader lease `L`:
///
/// * A node admits work for `A = (B + G) * (1 - r) / (1 + r)` on its own clock after it *sent* a
///   request: at most `(B + G) / (1 + r)` of real time.
/// * The leader counts the node's lease as expired `B + G` on its own clock after it *answered*: at
///   least `(B + G) / (1 + r)` of real time, and it answered after the node sent the request.
/// * A new leader does not know which leases former leaders granted. They granted leases until
///   their own lease expired, at most `L / (1 - r)` of real time after the election. So it waits
///   `(1 + r) * L / (1 - r) + B + G` on its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowTiming {
    /// Time within which a node that may admit work has a change in force or stops admitting work.
    pub bound: Duration,
    /// Largest drift of a clock, in parts per million.
    pub drift_ppm: u32,
    /// Time for which a leader may rely on its leadership after it last sent a request to a quorum.
    pub leader_lease: Duration,
}

impl Default for FollowTiming {
    fn default() -> Self {
        Self {
            bound: Duration::from_secs(3),
            drift_ppm: 1000,
            leader_lease: Duration::from_millis(1500),
        }
    }
}

impl FollowTiming {
    /// Returns the lease duration on the node's clock, counted from when it sent the request.
    pub fn node_lease(&self, grace: Duration) -> Duration {
        let drift = u128::from(self.drift_ppm.min(MAX_DRIFT_PPM));
        let scaled = (self.bound + grace).as_micros() * (MILLION - drift);
        let micros = scaled / (MILLION + drift);
        Duration::from_millis(u64::try_from(micros / 1000).unwrap_or(u64::MAX))
    }

    /// Returns how long the leader counts the node as admitting work, on its own clock after it
    /// answered.
    pub fn leader_grant(&self, grace: Duration) -> Duration {
        self.bound + grace
    }

    /// Returns how long a new leader counts unknown nodes as admitting work, on its own clock after
    /// it applied the first entry of its own term.
    pub fn new_leader_wait(&self, longest_grace: Duration) -> Duration {
        let drift = u128::from(self.drift_ppm.min(MAX_DRIFT_PPM));
        let lease = self.leader_lease.as_micros() * (MILLION + drift);
        let micros = lease.div_ceil(MILLION - drift);
        let lease = Duration::from_millis(u64::try_from(micros.div_ceil(1000)).unwrap_or(u64::MAX));
        lease + self.bound + longest_grace
    }

    /// Returns the interval of a node's lease requests: four fit within the bound, so that three
    /// lost messages in a row do not interrupt admission.
    pub fn renew_interval(&self) -> Duration {
        self.bound / 5
    }
}
