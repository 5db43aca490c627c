use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use super::{
    crash_entry::{
        CrashEntry,
        MAX_ENTRY_CRASHES, //
    },
    crash_judgement::CrashJudgement,
    crash_trials::CrashTrials,
    crash_verdict::CrashVerdict, //
};
use crate::CrashSettings;

/// Crashes of endpoints by the requests that were running there, over the whole fleet.
///
/// A request whose content crashes its endpoint ends one endpoint after the other when its client
/// repeats it, and with each of them all other requests there. Each process reports the crashes
/// that it observes to all others, and a request is quarantined once enough endpoints have crashed
/// under it. Merging reports is idempotent and independent of their order, so they may be sent
/// again and by several ways.
///
/// The other requests of a crashed endpoint are in the table too. They are told apart by the
/// responses that they complete, and by the request with more crashes that was running beside them.
/// While two requests have as many, neither is quarantined: they are tried one at a time.
///
/// ```
/// use ragwortroad_routing::{CrashSettings, CrashTable};
/// use ragwortroad_types::prelude::*;
///
/// let mut table = CrashTable::new(CrashSettings::default());
/// let digest = RequestDigest(7);
/// for endpoint in ["engine-1", "engine-2", "engine-3"] {
///     assert!(!table.is_quarantined(digest, ClockTime(1000)));
///     let crashed = RunEnd::Crashed(IncarnationKey::new(endpoint, 0));
///     table.observe(digest, crashed, ClockTime(1000));
/// }
/// assert!(table.is_quarantined(digest, ClockTime(1000)));
/// ```
#[derive(Debug)]
pub struct CrashTable {
    settings: CrashSettings,
    /// Invariant: at most `settings.max_digests` entries.
    entries: HashMap<RequestDigest, CrashEntry>,
    /// Observations that the other processes have yet to be told.
    ///
    /// Invariant: at most `settings.max_digests`.
    news: Vec<(RequestDigest, RunEnd, ClockTime)>,
    /// Crashes that count against no request.
    explained: BTreeSet<IncarnationKey>,
    next_expiry_at: ClockTime,
}

/// Interval between two removals of old entries.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

impl Default for CrashTable {
    fn default() -> Self {
        Self::new(CrashSettings::default())
    }
}

impl CrashTable {
    /// Creates an empty table.
    pub fn new(settings: CrashSettings) -> Self {
        Self {
            settings,
            entries: HashMap::new(),
            news: Vec::new(),
            explained: BTreeSet::new(),
            next_expiry_at: ClockTime::ZERO,
        }
    }

    /// Number of requests remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is known to have been running at a crashed endpoint.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Replaces the crashes for which something else is to blame, such as a part of prompts.
    pub fn set_explained(&mut self, crashes: &BTreeSet<IncarnationKey>) {
        if self.explained != *crashes {
            self.explained.clone_from(crashes);
        }
    }

    /// Whether a request must not be sent to any endpoint at this moment.
    ///
    /// A request that may be sound is refused for `trial_end` after the last crash at most.
    pub fn is_quarantined(&self, digest: RequestDigest, now: ClockTime) -> bool {
        let Some(entry) = self.entries.get(&digest) else {
            return false;
        };
        if entry.count() < self.settings.suspect_crashes || now >= self.quarantined_until(entry) {
            return false;
        }
        let judgement = self.judge(now);
        match judgement.verdict(digest) {
            CrashVerdict::Sound => false,
            CrashVerdict::Quarantined => true,
            CrashVerdict::Suspect => {
                let trials = self.trials(&judgement);
                !trials.admits(digest, now, &self.settings)
            }
        }
    }

    /// Number of requests that are quarantined, without those that are to be tried.
    pub fn quarantined_count(&self, now: ClockTime) -> usize {
        let mut entries = self.entries.values();
        if entries.all(|entry| entry.count() < self.settings.suspect_crashes) {
            return 0;
        }
        let judgement = self.judge(now);
        let digests = self.entries.keys();
        let verdicts = digests.map(|digest| judgement.verdict(*digest));
        let quarantined = verdicts.filter(|verdict| *verdict == CrashVerdict::Quarantined);
        quarantined.count()
    }

    /// Records a run that this process observed to end, to be told to the other processes; returns
    /// whether it is news.
    pub fn observe(&mut self, digest: RequestDigest, end: RunEnd, now: ClockTime) -> bool {
        // Requests that run to their end are of interest only if endpoints have crashed under them.
        if end == RunEnd::Completed && !self.entries.contains_key(&digest) {
            return false;
        }
        let is_news = self.record(digest, end, now, now);
        if is_news {
            self.add_news(digest, end, now);
        }
        is_news
    }

    /// Merges reports of other processes.
    pub fn merge(&mut self, reports: &[CrashReport], now: ClockTime) {
        for report in reports {
            self.record(report.digest, report.end, ended_at(report, now), now);
        }
    }

    /// Merges reports of other processes, and keeps what is new to be told to further ones.
    pub fn relay(&mut self, reports: &[CrashReport], now: ClockTime) {
        for report in reports {
            let ended_at = ended_at(report, now);
            if self.record(report.digest, report.end, ended_at, now) {
                self.add_news(report.digest, report.end, ended_at);
            }
        }
    }

    /// Removes and returns up to `most` observations that the other processes have yet to be told,
    /// the oldest first.
    pub fn take_news(&mut self, most: usize, now: ClockTime) -> Vec<CrashReport> {
        let news = self.news.drain(..most.min(self.news.len()));
        news.map(|(digest, end, at)| new_report(digest, end, at, now))
            .collect()
    }

    /// Returns reports of up to `most` runs, those of the requests with most crashes first, for a
    /// process that knows none of them.
    pub fn reports(&self, most: usize, now: ClockTime) -> Vec<CrashReport> {
        let mut entries: Vec<_> = self.entries.iter().collect();
        entries.sort_unstable_by_key(|(digest, entry)| {
            std::cmp::Reverse((entry.count(), entry.last_ended_at(), **digest))
        });
        let reports = entries.into_iter().flat_map(|(digest, entry)| {
            let ends = entry.ends();
            ends.map(|(end, at)| new_report(*digest, end, at, now))
        });
        reports.take(most).collect()
    }

    /// Removes requests whose quarantine has ended long ago.
    pub fn expire(&mut self, now: ClockTime) {
        if now < self.next_expiry_at {
            return;
        }
        self.next_expiry_at = now.after(EXPIRY_INTERVAL);
        let settings = self.settings;
        // The count outlasts the quarantine, so that a single crash renews it.
        self.entries.retain(|_, entry| {
            now.since(entry.last_ended_at()) < 2 * quarantine(&settings, entry.count())
        });
    }

    fn record(
        &mut self,
        digest: RequestDigest,
        end: RunEnd,
        ended_at: ClockTime,
        now: ClockTime,
    ) -> bool {
        let is_old = now.since(ended_at) >= 2 * quarantine(&self.settings, MAX_ENTRY_CRASHES);
        if is_old {
            return false;
        }
        let is_new = !self.entries.contains_key(&digest);
        if is_new && self.entries.len() >= self.settings.max_digests {
            self.evict();
        }
        self.entries
            .entry(digest)
            .or_default()
            .record(end, ended_at)
    }

    /// Removes the entry with the fewest crashes, and among those the oldest.
    ///
    /// When a whole failure domain crashes, its requests would otherwise displace those that are
    /// quarantined.
    fn evict(&mut self) {
        let rank = |entry: &CrashEntry| (entry.count(), entry.last_ended_at());
        let weakest = self.entries.iter().min_by_key(|(_, entry)| rank(entry));
        if let Some(digest) = weakest.map(|(digest, _)| *digest) {
            self.entries.remove(&digest);
        }
    }

    fn add_news(&mut self, digest: RequestDigest, end: RunEnd, ended_at: ClockTime) {
        if self.news.len() < self.settings.max_digests {
            self.news.push((digest, end, ended_at));
        }
    }

    fn quarantined_until(&self, entry: &CrashEntry) -> ClockTime {
        let duration = quarantine(&self.settings, entry.count());
        entry.last_ended_at().after(duration)
    }

    /// Judges all requests whose quarantine has not ended.
    fn judge(&self, now: ClockTime) -> CrashJudgement {
        let entries = self.entries.iter();
        // A mass crash leaves thousands of requests with one crash, which explain none.
        let entries = entries.filter(|(_, entry)| entry.count() > 1);
        let entries = entries.filter(|(_, entry)| now < self.quarantined_until(entry));
        let entries = entries.map(|(digest, entry)| (*digest, entry));
        CrashJudgement::new(entries, &self.explained, &self.settings)
    }

    fn trials(&self, judgement: &CrashJudgement) -> CrashTrials {
        let suspects = judgement.suspects().filter_map(|digest| {
            let entry = self.entries.get(&digest)?;
            Some((digest, entry.last_ended_at()))
        });
        CrashTrials::new(suspects)
    }
}

/// Duration of the quarantine of a request with this many crashes.
fn quarantine(settings: &CrashSettings, crashes: usize) -> Duration {
    let doublings = crashes.saturating_sub(settings.suspect_crashes);
    settings.quarantine * (1 << doublings.min(MAX_ENTRY_CRASHES))
}

fn ended_at(report: &CrashReport, now: ClockTime) -> ClockTime {
    now.before(Duration::from_millis(report.age_ms.into()))
}

fn new_report(
    digest: RequestDigest,
    end: RunEnd,
    ended_at: ClockTime,
    now: ClockTime,
) -> CrashReport {
    let age_ms = now.since(ended_at).as_millis();
    CrashReport {
        digest,
        end,
        age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
    }
}
