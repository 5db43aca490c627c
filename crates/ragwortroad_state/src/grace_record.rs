use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::StateTime;

/// Added to twice the grace period; longer than any follow bound plus leader lease.
const GRACE_MARGIN: Duration = Duration::from_secs(60);

/// The longest quorum-loss grace period that was replaced by a shorter one and may still matter.
///
/// Admission leases granted under the longer grace period may still be running after it was made
/// shorter. A new leader that knew only the shorter one would report a change as in force while a
/// node with a longer lease still admits work without it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct GraceRecord {
    grace: Duration,
    until: StateTime,
}

impl GraceRecord {
    /// Records that the grace period changed from `before` to `after` at `now`.
    pub(crate) fn record_change(&mut self, before: Duration, after: Duration, now: StateTime) {
        if after >= before {
            return;
        }
        self.grace = before.max(self.longest_former(now));
        self.until = self.until.max(now.after(self.grace * 2 + GRACE_MARGIN));
    }

    /// The former grace period that a lease may still be running with; zero if there is none.
    pub(crate) fn longest_former(&self, now: StateTime) -> Duration {
        if now < self.until {
            self.grace
        } else {
            Duration::ZERO
        }
    }
}
