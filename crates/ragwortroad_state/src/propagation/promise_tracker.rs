use std::time::Duration;

use ragwortroad_types::prelude::*;

use crate::FollowTiming;

/// Tracks a member's promises to nodes that cannot reach a leader.
///
/// A member without a leader promises a node that for a while it will not write any change after
/// the node's revision to its log. When so many members have promised that the others cannot form a
/// quorum, no change can be accepted and the node may continue to admit work. The first change
/// after the quorum is restored waits until the promises have expired, at most the follow bound.
#[derive(Clone, Copy, Debug)]
pub struct PromiseTracker {
    timing: FollowTiming,
    /// Time until which the member writes no change of configuration or membership.
    ///
    /// Invariant: covers every promise, including those given before a restart. Promises are not
    /// stored on disk, so a restarted member behaves as if it had just given one.
    writes_blocked_until: ClockTime,
}

impl PromiseTracker {
    /// Creates the tracker of a member that started at `now`.
    pub fn new(timing: FollowTiming, now: ClockTime) -> Self {
        Self {
            timing,
            writes_blocked_until: now.after(timing.bound),
        }
    }

    /// Answers a node that has `revision` in force. `log_revision` is the highest revision in the
    /// member's log, committed or not; `hears_leader` tells whether the member knows a leader.
    ///
    /// Returns how long the promise lasts on the node's clock, counted from when the node sent the
    /// request, or `None` if the member cannot promise.
    pub fn promise(
        &mut self,
        now: ClockTime,
        revision: u64,
        log_revision: u64,
        hears_leader: bool,
    ) -> Option<Duration> {
        if hears_leader || revision != log_revision {
            return None;
        }
        let until = now.after(self.timing.bound);
        self.writes_blocked_until = self.writes_blocked_until.max(until);
        Some(self.timing.node_lease(Duration::ZERO))
    }

    /// Returns `Ok` if a change of configuration or membership may be written to the log at `now`,
    /// otherwise the time from which it may.
    pub fn may_write(&self, now: ClockTime) -> Result<(), ClockTime> {
        if now < self.writes_blocked_until {
            return Err(self.writes_blocked_until);
        }
        Ok(())
    }
}
