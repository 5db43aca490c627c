use std::time::Duration;

use ragwortroad_types::prelude::*;

use crate::FollowTiming;

/// A member's promises to nodes that cannot reach a leader.
///
/// A member that hears no leader promises a node not to write any change beyond the node's
/// revision into its log for a while. When so many members have promised that the others are no
/// quorum, no change can be accepted, and the node may go on. The first change after the quorum is
/// back waits until the promises are over, at most the follow bound.
#[derive(Clone, Copy, Debug)]
pub struct PromiseTracker {
    timing: FollowTiming,
    /// Until then no change of configuration or membership is written.
    ///
    /// Invariant: covers every promise given, also before a restart: promises are not kept on
    /// disk, so a restarted member counts as one that has just given one.
    writes_blocked_until: ClockTime,
}

impl PromiseTracker {
    /// The book of a member that started at `now`.
    pub fn new(timing: FollowTiming, now: ClockTime) -> Self {
        Self {
            timing,
            writes_blocked_until: now.after(timing.bound),
        }
    }

    /// Answers a node that has `revision` in force. `log_revision` is the highest one in the
    /// member's log, whether accepted or not; `hears_leader` whether a leader is there to ask.
    ///
    /// Returns how long the node may count on the promise by its own clock since it asked.
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

    /// Whether a change of configuration or membership may be written to the log now; otherwise
    /// when.
    pub fn may_write(&self, now: ClockTime) -> Result<(), ClockTime> {
        if now < self.writes_blocked_until {
            return Err(self.writes_blocked_until);
        }
        Ok(())
    }
}
