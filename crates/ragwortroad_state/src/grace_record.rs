use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::StateTime;

/// Beyond twice the grace itself: more than any follow bound and leader lease.
const GRACE_MARGIN: Duration = Duration::from_secs(60);

/// A grace of the quorum-loss policy that was declared before the present one.
///
/// Admission leases granted under it may run on after it was made shorter. A new leader that knew
/// only the shorter one would count a change as in force while a node that was granted the longer
/// one still admits work without it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct GraceRecord {
    grace: Duration,
    until: StateTime,
}

impl GraceRecord {
    /// Notes that the grace went from `before` to `after` at `now`.
    pub(crate) fn record_change(&mut self, before: Duration, after: Duration, now: StateTime) {
        if after >= before {
            return;
        }
        self.grace = before.max(self.longest_former(now));
        self.until = self.until.max(now.after(self.grace * 2 + GRACE_MARGIN));
    }

    /// The longest grace that a lease may still run with beside the declared one.
    pub(crate) fn longest_former(&self, now: StateTime) -> Duration {
        if now < self.until {
            self.grace
        } else {
            Duration::ZERO
        }
    }
}
