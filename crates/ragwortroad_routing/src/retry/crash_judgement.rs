use std::collections::{
    BTreeMap,
    BTreeSet,
    HashMap, //
};

use ragwortroad_types::prelude::*;

use super::{
    crash_entry::CrashEntry,
    crash_verdict::CrashVerdict, //
};
use crate::CrashSettings;

/// Most suspects that are compared with each other, since a mass crash may make thousands suspect.
const MAX_COMPARED: usize = 256;

/// Which of the requests that were running at crashed endpoints are to blame.
///
/// A request is the more likely one the more endpoints crashed under it while no other suspect was
/// running there. The crashes of a request that is to blame count against no other. Requests between
/// which no crash decides stay suspect.
#[derive(Debug)]
pub(super) struct CrashJudgement {
    settings: CrashSettings,
    suspects: BTreeMap<RequestDigest, CrashSuspect>,
    /// Number of requests with two or more crashes that were running at each crash.
    repeated: HashMap<IncarnationKey, usize>,
}

/// A request with so many crashes that it may be to blame.
#[derive(Debug)]
struct CrashSuspect {
    /// Number of crashes that no quarantined part explains.
    count: usize,
    /// Crashes that no request to blame explains.
    ///
    /// Invariant: at most `count`.
    open: Vec<IncarnationKey>,
    is_blamed: bool,
}

impl CrashSuspect {
    /// Whether it may still turn out to be to blame.
    fn is_active(&self, settings: &CrashSettings) -> bool {
        !self.is_blamed && self.open.len() >= settings.suspect_crashes
    }
}

impl CrashJudgement {
    /// Judges all requests; `explained` holds crashes that count against none.
    pub(super) fn new<'a>(
        entries: impl Iterator<Item = (RequestDigest, &'a CrashEntry)>,
        explained: &BTreeSet<IncarnationKey>,
        settings: &CrashSettings,
    ) -> Self {
        let mut judgement = Self {
            settings: *settings,
            suspects: BTreeMap::new(),
            repeated: HashMap::new(),
        };
        for (digest, entry) in entries {
            let open = entry.incarnations();
            let open: Vec<_> = open.filter(|crash| !explained.contains(crash)).collect();
            for crash in open.iter().filter(|_| open.len() > 1) {
                *judgement.repeated.entry(*crash).or_default() += 1;
            }
            if open.len() >= settings.suspect_crashes {
                let suspect = CrashSuspect {
                    count: open.len(),
                    open,
                    is_blamed: false,
                };
                judgement.suspects.insert(digest, suspect);
            }
        }
        // Whoever is blamed may leave another as the only suspect of more crashes.
        while judgement.blame() {}
        judgement
    }

    /// The suspect requests, in the same order in all processes.
    pub(super) fn suspects(&self) -> impl Iterator<Item = RequestDigest> + '_ {
        let digests = self.suspects.keys().copied();
        digests.filter(|digest| self.verdict(*digest) == CrashVerdict::Suspect)
    }

    pub(super) fn verdict(&self, digest: RequestDigest) -> CrashVerdict {
        let Some(suspect) = self.suspects.get(&digest) else {
            return CrashVerdict::Sound;
        };
        let settings = &self.settings;
        let is_certain = suspect.count >= settings.certain_crashes;
        if is_certain && !suspect.is_blamed {
            // Others that are to blame may hide it.
            return match suspect.open.len() < settings.own_crashes {
                true => CrashVerdict::Suspect,
                false => CrashVerdict::Quarantined,
            };
        }
        if !suspect.is_blamed {
            return match suspect.is_active(settings) {
                true => CrashVerdict::Suspect,
                false => CrashVerdict::Sound,
            };
        }
        // Before its first trial, a request may have been running beside several deadly ones.
        let lone = suspect.open.iter();
        let lone = lone.filter(|crash| self.repeated.get(crash) == Some(&1));
        let is_tried = suspect.count > settings.suspect_crashes;
        match is_tried || lone.count() >= settings.suspect_crashes {
            true => CrashVerdict::Quarantined,
            false => CrashVerdict::Suspect,
        }
    }

    /// Blames the likeliest requests; returns whether there are any.
    fn blame(&mut self) -> bool {
        let blamed = self.find_likeliest();
        let crashes = blamed.iter().flat_map(|(_, open)| open);
        let crashes: BTreeSet<_> = crashes.copied().collect();
        for (digest, _) in &blamed {
            if let Some(suspect) = self.suspects.get_mut(digest) {
                suspect.is_blamed = true;
            }
        }
        for suspect in self.suspects.values_mut().filter(|it| !it.is_blamed) {
            suspect.open.retain(|crash| !crashes.contains(crash));
        }
        !blamed.is_empty()
    }

    /// Returns the requests with the most crashes that no other suspect shares, with all of their
    /// crashes that are not explained.
    ///
    /// Of two requests with as many, and with a further crash in common, neither is returned.
    fn find_likeliest(&self) -> Vec<(RequestDigest, Vec<IncarnationKey>)> {
        let settings = self.settings;
        let active = self.suspects.iter();
        let active = active.filter(|(_, suspect)| suspect.is_active(&settings));
        let active: Vec<_> = active.collect();
        // A request with more crashes that was running at all crashes of another explains them.
        let is_compared = active.len() <= MAX_COMPARED;
        let is_subset = |suspect: &CrashSuspect| {
            let larger = active.iter();
            let mut larger = larger.filter(|(_, it)| it.open.len() > suspect.open.len());
            larger.any(|(_, it)| suspect.open.iter().all(|crash| it.open.contains(crash)))
        };
        let candidates = active.iter().copied();
        let candidates = candidates.filter(|(_, suspect)| !is_compared || !is_subset(suspect));
        let candidates: Vec<_> = candidates.collect();
        let crowds = count_crashes(candidates.iter().map(|(_, suspect)| *suspect));
        let mut levels: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (digest, suspect) in candidates {
            let lone = suspect.open.iter().filter(|crash| crowds[crash] == 1);
            let level = (lone.count(), suspect.open.len());
            levels.entry(level).or_default().push((*digest, suspect));
        }
        let likely = levels.into_iter().rev();
        let likely = likely.filter(|((lone_crashes, _), _)| *lone_crashes > 0);
        let mut blamed = likely.map(|(_, suspects)| {
            let rivals = count_crashes(suspects.iter().map(|(_, suspect)| *suspect));
            let sole = suspects.into_iter().filter(|(_, suspect)| {
                let mut open = suspect.open.iter();
                open.all(|crash| rivals[crash] == 1)
            });
            let sole = sole.map(|(digest, suspect)| (digest, suspect.open.clone()));
            sole.collect::<Vec<_>>()
        });
        blamed.find(|blamed| !blamed.is_empty()).unwrap_or_default()
    }
}

/// Counts the suspects that were running at each crash.
fn count_crashes<'a>(
    suspects: impl Iterator<Item = &'a CrashSuspect>,
) -> HashMap<IncarnationKey, usize> {
    let mut counts = HashMap::new();
    for crash in suspects.flat_map(|suspect| &suspect.open) {
        *counts.entry(*crash).or_default() += 1;
    }
    counts
}
