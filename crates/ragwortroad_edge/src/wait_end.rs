use std::time::Duration;

use tokio::time::Instant;

/// When the wait for a client's next request ends, while its limit may change.
///
/// A longer limit counts from the start of the wait. A shorter one counts from the change, since the
/// client may not know of it yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitEnd {
    started_at: Instant,
    limit: Duration,
    ends_at: Instant,
}

impl WaitEnd {
    pub(crate) fn new(started_at: Instant, limit: Duration) -> Self {
        Self {
            started_at,
            limit,
            ends_at: started_at + limit,
        }
    }

    pub(crate) fn ends_at(&self) -> Instant {
        self.ends_at
    }

    /// Applies a limit that is in force from now on.
    pub(crate) fn change_limit(&mut self, limit: Duration, now: Instant) {
        self.ends_at = match limit > self.limit {
            true => self.ends_at.max(self.started_at + limit),
            false => self.ends_at.min(now + limit),
        };
        self.limit = limit;
    }
}
