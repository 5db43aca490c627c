use std::{
    collections::VecDeque,
    time::Duration, //
};

use ragwortroad_types::ClockTime;

/// Longest time that a sync is expected to take. A disk that hangs for longer counts as failed for
/// elections, and others go on without it.
const MAX_SYNC: Duration = Duration::from_secs(2);

/// Estimates how long a sync of this member's disk takes.
///
/// An election needs a sync at the candidate and then one at each voter. A candidate that starts
/// over before they can have finished never wins.
#[derive(Debug, Default)]
pub(crate) struct SyncTime {
    /// Batches that are not durable yet, and when they were handed to the disk.
    ///
    /// Invariant: numbers and times increase.
    pending: VecDeque<(u64, ClockTime)>,
    /// Rises at once with a longer sync, and falls slowly.
    estimate: Duration,
}

impl SyncTime {
    pub(crate) fn start(&mut self, batch: u64, now: ClockTime) {
        self.pending.push_back((batch, now));
    }

    /// Records that all batches up to `batch` are durable.
    pub(crate) fn finish(&mut self, batch: u64, now: ClockTime) {
        while let Some(&(number, started_at)) = self.pending.front() {
            if number > batch {
                return;
            }
            self.pending.pop_front();
            let taken = now.since(started_at);
            self.estimate = taken.max((self.estimate * 3 + taken) / 4);
        }
    }

    /// Time that a sync is expected to take, at most [`MAX_SYNC`].
    pub(crate) fn expected(&self, now: ClockTime) -> Duration {
        let oldest = self.pending.front();
        let waited = oldest.map_or(Duration::ZERO, |(_, started_at)| now.since(*started_at));
        self.estimate.max(waited).min(MAX_SYNC)
    }

    /// Forgets batches that will not become durable.
    pub(crate) fn clear(&mut self) {
        self.pending.clear();
    }
}
