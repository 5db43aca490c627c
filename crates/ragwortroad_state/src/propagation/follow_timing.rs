use std::time::Duration;

use crate::order::order_timing::{
    MAX_DRIFT_PPM, //
    MILLION,
};

/// Spans of the rule that a change is in force everywhere.
///
/// With bound `B`, grace `G` of the quorum-loss policy, largest drift `r` of any clock against
/// true time and the leader's lease `L`:
///
/// * A node admits for `A = (B + G) * (1 - r) / (1 + r)` by its own clock since it *asked*: at
///   most `(B + G) / (1 + r)` of true time.
/// * The leader counts the node's admission as over `B + G` by its own clock since it *answered*:
///   at least `(B + G) / (1 + r)` of true time, and it answered after the node asked.
/// * A new leader does not know what former leaders granted. They granted until their lease was
///   over, at most `L / (1 - r)` of true time after the election. So it waits
///   `(1 + r) * L / (1 - r) + B + G` by its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowTiming {
    /// Time within which a node that may admit work has a change in force, or has stopped.
    pub bound: Duration,
    /// Largest drift of a clock, in millionths.
    pub drift_ppm: u32,
    /// How long a leader may count on its lead after it last asked a quorum.
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
    /// How long a node admits work by its own clock since it asked.
    pub fn node_lease(&self, grace: Duration) -> Duration {
        let drift = u128::from(self.drift_ppm.min(MAX_DRIFT_PPM));
        let span = (self.bound + grace).as_micros() * (MILLION - drift);
        let micros = span / (MILLION + drift);
        Duration::from_millis(u64::try_from(micros / 1000).unwrap_or(u64::MAX))
    }

    /// How long the leader counts the node as admitting, by its own clock since it answered.
    pub fn leader_grant(&self, grace: Duration) -> Duration {
        self.bound + grace
    }

    /// How long a new leader counts unknown nodes as admitting, by its own clock since the first
    /// entry of its own term was applied.
    pub fn new_leader_wait(&self, longest_grace: Duration) -> Duration {
        let drift = u128::from(self.drift_ppm.min(MAX_DRIFT_PPM));
        let lease = self.leader_lease.as_micros() * (MILLION + drift);
        let micros = lease.div_ceil(MILLION - drift);
        let lease = Duration::from_millis(u64::try_from(micros.div_ceil(1000)).unwrap_or(u64::MAX));
        lease + self.bound + longest_grace
    }

    /// How often a node asks: four times within the bound, so that three lost messages in a row
    /// do not stop it.
    pub fn renew_interval(&self) -> Duration {
        self.bound / 5
    }
}
