use crate::HybridTime;

/// Stamps events so that a cause has a lower stamp than its effects, on whatever nodes they are.
///
/// Every message between nodes carries a stamp taken with [`Self::now`] when it was sent, and the
/// receiver passes it to [`Self::observe`] before it stamps anything else.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HybridClock {
    /// The highest stamp given or seen.
    ///
    /// Invariant: never falls, also when the wall clock is set back.
    latest: HybridTime,
    /// The furthest that a stamp seen lay ahead of the wall clock, in milliseconds.
    max_drift_ms: u64,
}

impl HybridClock {
    /// A stamp for something that happens now.
    pub fn now(&mut self, wall_ms: u64) -> HybridTime {
        self.latest = HybridTime::from_wall_ms(wall_ms).max(self.latest.next());
        self.latest
    }

    /// Takes the stamp of a message from elsewhere into account.
    ///
    /// A stamp far ahead of our wall clock is followed all the same, since order matters more
    /// than nearness; [`Self::furthest_ahead`] shows that some node's clock is wrong.
    pub fn observe(&mut self, remote: HybridTime, wall_ms: u64) {
        self.latest = self.latest.max(remote);
        let ahead = remote.wall_ms().saturating_sub(wall_ms);
        self.max_drift_ms = self.max_drift_ms.max(ahead);
    }

    /// The furthest that a stamp seen lay ahead of our wall clock, in milliseconds.
    pub fn max_drift_ms(&self) -> u64 {
        self.max_drift_ms
    }
}
