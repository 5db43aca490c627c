use std::{
    collections::VecDeque,
    time::Duration, //
};

use ragwortroad_types::ClockTime;

/// Longest time that a sync is expected to take. A disk that hangs for longer counts as failed for
/// elections, and others go on without it.
const MAX_SYNC: Duration = Duration::from_secs(2);

/// Time after which a sync says nothing of the next one any more.
const SYNC_MEMORY: Duration = Duration::from_secs(10);

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
    /// Time of the last sync.
    measured_at: ClockTime,
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
            self.estimate = taken.max((self.remembered(now) * 3 + taken) / 4);
            self.measured_at = now;
        }
    }

    /// Time that a sync is expected to take, at most [`MAX_SYNC`].
    pub(crate) fn expected(&self, now: ClockTime) -> Duration {
        let oldest = self.pending.front();
        let waited = oldest.map_or(Duration::ZERO, |(_, started_at)| now.since(*started_at));
        self.remembered(now).max(waited).min(MAX_SYNC)
    }

    /// The estimate, which fades while nothing is synced: the disk may have become quick again.
    fn remembered(&self, now: ClockTime) -> Duration {
        let age = now.since(self.measured_at).min(SYNC_MEMORY);
        let left = (SYNC_MEMORY - age).as_millis() as u32;
        self.estimate * left / SYNC_MEMORY.as_millis() as u32
    }

    /// Forgets batches that will not become durable.
    pub(crate) fn clear(&mut self) {
        self.pending.clear();
    }
}
