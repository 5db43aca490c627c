use std::time::Duration;

use ragwortroad_types::prelude::*;

use crate::CrashSettings;

/// Turns in which requests that may each be to blame for the same crashes are tried.
///
/// Each turn admits one of them, so that a further crash tells them apart. Processes agree on the
/// turns as far as they agree on the crashes and their times. Once each has had its turns, all are
/// admitted: what still comes is sound more often than not, and one that is not has more crashes
/// than the others after the next one.
#[derive(Debug)]
pub(super) struct CrashTrials {
    /// The requests, in the same order in all processes.
    suspects: Vec<RequestDigest>,
    /// When the last endpoint crashed under one of them.
    crashed_at: ClockTime,
}

impl CrashTrials {
    pub(super) fn new(suspects: impl Iterator<Item = (RequestDigest, ClockTime)>) -> Self {
        let (suspects, times): (Vec<_>, Vec<_>) = suspects.unzip();
        Self {
            suspects,
            crashed_at: times.into_iter().max().unwrap_or_default(),
        }
    }

    /// Whether a suspect request may be sent now.
    pub(super) fn admits(
        &self,
        digest: RequestDigest,
        now: ClockTime,
        settings: &CrashSettings,
    ) -> bool {
        let age = now.since(self.crashed_at);
        if age < settings.trial_delay {
            return false;
        }
        if age >= settings.trial_end {
            return true;
        }
        let count = self.suspects.len().max(1);
        let turns = settings.trial_end - settings.trial_delay;
        let turn_time = turns / (2 * count as u32);
        let turn_time = turn_time.max(Duration::from_millis(1));
        let turn = (age - settings.trial_delay).as_millis() / turn_time.as_millis().max(1);
        let turn = turn as usize;
        // Each round begins with another request, so that one which is sent at regular intervals
        // does not miss all of its turns.
        let position = (turn % count + turn / count) % count;
        self.suspects.get(position) == Some(&digest)
    }
}
