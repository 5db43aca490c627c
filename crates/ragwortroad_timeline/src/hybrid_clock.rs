use crate::HybridTime;

/// A hybrid logical clock: a cause has a lower timestamp than its effects, also across nodes.
///
/// Every message between nodes carries a timestamp that the sender took with [`Self::now`]; the
/// receiver passes it to [`Self::observe`] before it stamps any event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HybridClock {
    /// The highest timestamp issued or observed.
    ///
    /// Invariant: never decreases, even when the wall clock is set back.
    latest: HybridTime,
    /// The most that an observed timestamp was ahead of the local wall clock, in milliseconds.
    max_drift_ms: u64,
}

impl HybridClock {
    /// Issues a timestamp for an event at the wall-clock time `wall_ms`, in milliseconds since
    /// 1970.
    pub fn now(&mut self, wall_ms: u64) -> HybridTime {
        self.latest = HybridTime::from_wall_ms(wall_ms).max(self.latest.next());
        self.latest
    }

    /// Advances the clock past the timestamp of a received message.
    ///
    /// A timestamp far ahead of the local wall clock is adopted as well, since causal order matters
    /// more than closeness to the wall clock; [`Self::max_drift_ms`] then shows that a node's
    /// clock is wrong.
    pub fn observe(&mut self, remote: HybridTime, wall_ms: u64) {
        self.latest = self.latest.max(remote);
        let ahead = remote.wall_ms().saturating_sub(wall_ms);
        self.max_drift_ms = self.max_drift_ms.max(ahead);
    }

    /// Returns the most that an observed timestamp was ahead of the local wall clock, in
    /// milliseconds.
    pub fn max_drift_ms(&self) -> u64 {
        self.max_drift_ms
    }
}
