use ragwortroad_types::prelude::*;

/// Maximum number of crashes remembered for one request.
pub(super) const MAX_ENTRY_CRASHES: usize = 8;

/// What is known of one request under which endpoints have crashed.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashEntry {
    /// Endpoints that crashed under the request, and when.
    ///
    /// Invariant: no endpoint occurs twice, all crashes are later than `completed_at`, and there
    /// are at most [`MAX_ENTRY_CRASHES`].
    crashes: Vec<(IncarnationKey, ClockTime)>,
    /// When the request was last run to its end.
    completed_at: Option<ClockTime>,
}

impl CrashEntry {
    /// Records the end of a run; returns whether it changes the crashes.
    pub(super) fn record(&mut self, end: RunEnd, ended_at: ClockTime) -> bool {
        // A request that completes doesn't crash its endpoints, so it was not to blame before.
        if self.completed_at >= Some(ended_at) {
            return false;
        }
        let incarnation = match end {
            RunEnd::Completed => {
                self.completed_at = Some(ended_at);
                let known_crashes = self.crashes.len();
                self.crashes.retain(|(_, at)| *at > ended_at);
                // A request that is sent all the time completes all the time.
                return self.crashes.len() < known_crashes;
            }
            RunEnd::Crashed(incarnation) => incarnation,
        };
        let known = self.crashes.iter_mut();
        if let Some((_, at)) = known.into_iter().find(|(key, _)| *key == incarnation) {
            // Observers differ by the time that the report took; the first one is the closest.
            *at = ended_at.min(*at);
            return false;
        }
        if self.crashes.len() == MAX_ENTRY_CRASHES {
            let oldest = (0..MAX_ENTRY_CRASHES).min_by_key(|&index| self.crashes[index].1);
            self.crashes.swap_remove(oldest.unwrap_or_default());
        }
        self.crashes.push((incarnation, ended_at));
        true
    }

    /// Number of crashes since the last complete run.
    pub(super) fn count(&self) -> usize {
        self.crashes.len()
    }

    /// Endpoints that crashed.
    pub(super) fn incarnations(&self) -> impl Iterator<Item = IncarnationKey> {
        self.crashes.iter().map(|(incarnation, _)| *incarnation)
    }

    /// When the last known run ended.
    pub(super) fn last_ended_at(&self) -> ClockTime {
        let crashed_at = self.crashes.iter().map(|(_, at)| *at).max();
        crashed_at.max(self.completed_at).unwrap_or_default()
    }

    /// All known ends of runs, with their times.
    pub(super) fn ends(&self) -> impl Iterator<Item = (RunEnd, ClockTime)> {
        let crashes = self.crashes.iter();
        let crashes = crashes.map(|&(incarnation, at)| (RunEnd::Crashed(incarnation), at));
        let completed = self.completed_at.map(|at| (RunEnd::Completed, at));
        completed.into_iter().chain(crashes)
    }
}
