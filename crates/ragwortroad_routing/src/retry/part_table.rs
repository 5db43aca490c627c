use std::{
    cmp::Reverse,
    collections::{
        BTreeSet,
        HashMap, //
    },
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use super::{
    part_entry::{
        PartCrash,
        PartEntry, //
    },
    recent_writes::RecentWrites, //
};
use crate::PartSettings;

/// Crashes of endpoints by the parts of the prompts on which they were about to write, over the
/// whole fleet.
///
/// A part that crashes each endpoint which begins to write on it comes in many requests, no two of
/// which are alike. The runs that an endpoint had written for are innocent of its crash; the parts
/// of the others are suspect until an endpoint writes on them. A part is quarantined once it was
/// suspect on several occasions that no other quarantined part explains. Of two parts that were
/// suspect on the same occasions, the more specific one is quarantined.
///
/// Merging reports is idempotent and independent of their order.
///
/// ```
/// use ragwortroad_routing::PartTable;
/// use ragwortroad_types::prelude::*;
///
/// let mut table = PartTable::default();
/// let part = SuspectPart { key: PartKey::new("llm", "m", 7), depth: 1 };
/// for second in 1..=3 {
///     assert!(table.find_blamed(&[part]).is_none());
///     let name = format!("engine-{second}");
///     let incarnation = IncarnationKey::new(&name, 0);
///     let endpoint = CrashedEndpoint { name, incarnation };
///     let end = PartEnd::Crashed { endpoint, has_begun: true };
///     table.observe(&[part], &end, ClockTime(second * 1000), ClockTime(9000));
/// }
/// table.refresh(ClockTime(9000));
/// assert!(table.find_blamed(&[part]).is_some());
/// ```
#[derive(Debug, Default)]
pub struct PartTable {
    settings: PartSettings,
    /// Invariant: at most `settings.max_parts` entries.
    entries: HashMap<PartKey, PartEntry>,
    /// Parts that are quarantined.
    ///
    /// Invariant: agrees with `entries`.
    blamed: BTreeSet<PartKey>,
    /// Parts that may turn out to be deadly.
    ///
    /// Invariant: agrees with `entries`.
    doubtful: BTreeSet<PartKey>,
    /// Crashes under parts that are quarantined.
    ///
    /// Invariant: agrees with `blamed`, of which whole requests count for nothing here.
    explained: BTreeSet<IncarnationKey>,
    /// When this process last saw an endpoint write on each part.
    writes: RecentWrites,
    /// Observations that the other processes have yet to be told.
    ///
    /// Invariant: at most `settings.max_parts`.
    news: Vec<(SuspectPart, PartEnd, ClockTime)>,
    /// When sound runs may be reported next.
    next_writes_at: ClockTime,
    next_expiry_at: ClockTime,
}

/// A part that is quarantined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlamedPart {
    /// The part.
    pub part: SuspectPart,
    /// The endpoints that crashed, with the times of their crashes.
    pub crashes: Vec<(CrashedEndpoint, ClockTime)>,
}

/// Crashes under one repeated request that count against its parts.
const MAX_REPEAT_CRASHES: usize = 2;

/// Interval between two removals of old entries.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

impl PartTable {
    /// Creates an empty table.
    pub fn new(settings: PartSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Number of parts remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no part is suspect.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of parts that are quarantined.
    pub fn blamed_count(&self) -> usize {
        self.blamed.len()
    }

    /// The crashes under parts that are quarantined, which count against no whole request.
    pub fn explained(&self) -> &BTreeSet<IncarnationKey> {
        &self.explained
    }

    /// Returns the first of a request's parts that is quarantined; `None` if it may be sent.
    pub fn find_blamed(&self, parts: &[SuspectPart]) -> Option<BlamedPart> {
        let mut parts = parts.iter();
        let part = *parts.find(|part| self.blamed.contains(&part.key))?;
        let crashes = self.entries.get(&part.key)?.crashes().iter();
        let crashes = crashes.map(|crash| (crash.endpoint.clone(), crash.at));
        Some(BlamedPart {
            part,
            crashes: crashes.collect(),
        })
    }

    /// Returns whether a request under which an endpoint has just crashed must not be repeated, since
    /// its parts may turn out to be deadly.
    pub fn is_doubtful(&self, parts: &[SuspectPart]) -> bool {
        let mut parts = parts.iter();
        parts.any(|part| self.doubtful.contains(&part.key) || self.blamed.contains(&part.key))
    }

    /// Records what this process observed of a run with these parts, to be told to the other
    /// processes; returns whether it is news.
    ///
    /// `at` is the time of the crash, or of the run's first output.
    pub fn observe(
        &mut self,
        parts: &[SuspectPart],
        end: &PartEnd,
        at: ClockTime,
        now: ClockTime,
    ) -> bool {
        let mut has_news = false;
        for &part in parts {
            // A run that had not begun to respond says little of a part that is known to be sound.
            let is_weak = matches!(
                end,
                PartEnd::Crashed {
                    has_begun: false,
                    ..
                }
            );
            if is_weak && self.writes.find(part.key).is_some() {
                continue;
            }
            if *end == PartEnd::Wrote {
                self.writes.note(part, at, now, &self.settings);
                // Of interest to others only if endpoints have crashed under the part.
                if !self.entries.contains_key(&part.key) {
                    continue;
                }
            }
            if self.record(part, end, at, now) {
                self.add_news(part, end.clone(), at);
                has_news = true;
            }
        }
        if has_news {
            self.refresh(now);
        }
        has_news
    }

    /// Merges reports of other processes; returns whether they contain news.
    pub fn merge(&mut self, reports: &[PartReport], now: ClockTime) -> bool {
        let mut has_news = false;
        for report in reports {
            has_news |= self.record(report.part, &report.end, ended_at(report, now), now);
        }
        if has_news {
            self.refresh(now);
        }
        has_news
    }

    /// Merges reports of other processes, and keeps what is new to be told to further ones; returns
    /// whether there is any.
    pub fn relay(&mut self, reports: &[PartReport], now: ClockTime) -> bool {
        let mut has_news = false;
        for report in reports {
            let at = ended_at(report, now);
            if self.record(report.part, &report.end, at, now) {
                self.add_news(report.part, report.end.clone(), at);
                has_news = true;
            }
        }
        if has_news {
            self.refresh(now);
        }
        has_news
    }

    /// Removes and returns up to `most` observations that the other processes have yet to be told,
    /// the oldest first.
    ///
    /// Crashes are returned at once, sound runs from time to time and only if no later one is known:
    /// after a crash, all processes see endpoints write on the popular parts.
    pub fn take_news(&mut self, most: usize, now: ClockTime) -> Vec<PartReport> {
        let are_writes_due = now >= self.next_writes_at;
        if are_writes_due {
            self.next_writes_at = now.after(self.settings.write_interval);
        }
        let mut taken = Vec::new();
        let news = std::mem::take(&mut self.news);
        for (part, end, at) in news {
            let is_write = end == PartEnd::Wrote;
            let entry = self.entries.get(&part.key);
            let is_outdated = is_write && entry.is_none_or(|entry| entry.has_written_since(at));
            if is_outdated {
                continue;
            }
            match taken.len() < most && (!is_write || are_writes_due) {
                true => taken.push(new_report(part, end, at, now)),
                false => self.news.push((part, end, at)),
            }
        }
        taken
    }

    /// Returns reports of up to `most` runs, those of the parts with most crashes first, for a
    /// process that knows none of them.
    pub fn reports(&self, most: usize, now: ClockTime) -> Vec<PartReport> {
        let mut entries: Vec<_> = self.entries.iter().collect();
        entries.sort_unstable_by_key(|(key, entry)| {
            let is_blamed = self.blamed.contains(key);
            Reverse((is_blamed, entry.crashes().len(), entry.last_at(), **key))
        });
        let reports = entries.into_iter().flat_map(|(&key, entry)| {
            let depth = entry.depth;
            let part = SuspectPart { key, depth };
            let ends = entry.ends();
            ends.map(move |(end, at)| new_report(part, end, at, now))
        });
        reports.take(most).collect()
    }

    /// Removes parts whose quarantine has ended.
    pub fn expire(&mut self, now: ClockTime) {
        if now < self.next_expiry_at {
            return;
        }
        self.next_expiry_at = now.after(EXPIRY_INTERVAL);
        let quarantine = self.settings.quarantine;
        let known = self.entries.len();
        self.entries
            .retain(|_, entry| now.since(entry.last_at()) < quarantine);
        if self.entries.len() < known {
            self.refresh(now);
        }
    }

    fn record(&mut self, part: SuspectPart, end: &PartEnd, at: ClockTime, now: ClockTime) -> bool {
        if now.since(at) >= self.settings.quarantine {
            return false;
        }
        let is_new = !self.entries.contains_key(&part.key);
        if is_new && self.entries.len() >= self.settings.max_parts {
            self.evict();
        }
        let wrote_at = self.writes.find(part.key).filter(|_| is_new);
        let entry = self.entries.entry(part.key);
        let entry = entry.or_insert_with(|| PartEntry::new(part.depth));
        let has_changed = entry.record(end, at);
        if let Some(wrote_at) = wrote_at {
            entry.record(&PartEnd::Wrote, wrote_at);
            self.add_news(part, PartEnd::Wrote, wrote_at);
        }
        has_changed
    }

    /// Removes the part with the fewest crashes, and among those the oldest.
    fn evict(&mut self) {
        let rank = |entry: &PartEntry| (entry.crashes().len(), entry.last_at());
        let weakest = self.entries.iter().min_by_key(|(_, entry)| rank(entry));
        if let Some(key) = weakest.map(|(key, _)| *key) {
            self.entries.remove(&key);
            self.blamed.remove(&key);
            self.doubtful.remove(&key);
        }
    }

    fn add_news(&mut self, part: SuspectPart, end: PartEnd, at: ClockTime) {
        if self.news.len() < self.settings.max_parts {
            self.news.push((part, end, at));
        }
    }

    /// Decides again which parts are quarantined, since crashes count only after some time.
    ///
    /// Parts on which no endpoint has written are judged first, in the order in which the evidence
    /// against each was complete, and each part by the crashes that those before do not explain.
    pub fn refresh(&mut self, now: ClockTime) {
        if self.entries.is_empty() {
            self.blamed.clear();
            self.doubtful.clear();
            self.explained.clear();
            return;
        }
        let PartSettings {
            quarantine,
            report_time,
            ..
        } = self.settings;
        let settings = &self.settings;
        let entries = self.entries.values();
        // Every request has a content of its own.
        let entries = entries.filter(|entry| entry.depth < u8::MAX && !entry.was_sound(settings));
        let begun = entries.flat_map(PartEntry::crashes);
        let begun = begun.filter(|crash| crash.has_begun);
        let begun: BTreeSet<_> = begun.map(|crash| crash.endpoint.incarnation).collect();
        let mut crashed_at = HashMap::new();
        for crash in self.entries.values().flat_map(PartEntry::crashes) {
            let at = crashed_at
                .entry(crash.endpoint.incarnation)
                .or_insert(crash.at);
            *at = crash.at.min(*at);
        }
        // A run that had not begun to respond is suspect only if no other had that is not known to be
        // sound.
        let count = |crash: &PartCrash| {
            let incarnation = crash.endpoint.incarnation;
            let at = crashed_at[&incarnation];
            let is_suspect = crash.has_begun || !begun.contains(&incarnation);
            (is_suspect && now.since(at) >= report_time).then_some(at)
        };
        let recent = self.entries.iter();
        let recent = recent.filter(|(_, entry)| now.since(entry.last_at()) < quarantine);
        let suspects = recent.filter_map(|(key, entry)| {
            let complete_at = entry.complete_at(settings, count)?;
            let (depth, begun) = (Reverse(entry.depth), Reverse(entry.begun_count()));
            let is_part = entry.depth != u8::MAX;
            let was_sound = entry.was_sound(settings);
            Some((is_part, was_sound, complete_at, depth, begun, *key))
        });
        let mut suspects: Vec<_> = suspects.collect();
        suspects.sort_unstable();
        let doubtful = self.entries.iter().filter(|(_, entry)| {
            let is_known = entry.depth == u8::MAX || entry.was_sound(settings);
            !is_known && entry.begun_count() >= settings.doubtful_crashes
        });
        self.doubtful = doubtful.map(|(key, _)| *key).collect();
        let mut explained = BTreeSet::new();
        let mut repeated = BTreeSet::new();
        self.blamed.clear();
        for (.., key) in suspects {
            let entry = &self.entries[&key];
            let is_whole = entry.depth == u8::MAX;
            let complete_at = entry.complete_at(settings, |crash| {
                let incarnation = crash.endpoint.incarnation;
                let is_repeat = !is_whole && repeated.contains(&incarnation);
                let is_explained = is_repeat || explained.contains(&incarnation);
                count(crash).filter(|_| !is_explained)
            });
            if complete_at.is_none() {
                continue;
            }
            self.blamed.insert(key);
            let mut crashes: Vec<_> = entry.crashes().iter().collect();
            crashes.sort_unstable_by_key(|crash| crashed_at[&crash.endpoint.incarnation]);
            let incarnations = crashes.iter().map(|crash| crash.endpoint.incarnation);
            match is_whole {
                // What further repeats of one request add says nothing of its parts.
                true => repeated.extend(incarnations.skip(MAX_REPEAT_CRASHES)),
                false => explained.extend(incarnations),
            }
        }
        self.explained = explained;
    }
}

fn ended_at(report: &PartReport, now: ClockTime) -> ClockTime {
    now.before(Duration::from_millis(report.age_ms.into()))
}

fn new_report(part: SuspectPart, end: PartEnd, at: ClockTime, now: ClockTime) -> PartReport {
    let age_ms = now.since(at).as_millis();
    PartReport {
        part,
        end,
        age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
    }
}
