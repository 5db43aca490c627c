use std::time::Duration;

use ragwortroad_types::prelude::*;

use crate::PartSettings;

/// Maximum number of crashes remembered for one part: more than there are until the fleet has
/// learned of the first ones.
const MAX_PART_CRASHES: usize = 32;

/// A crash of an endpoint that was about to write on a part.
#[derive(Clone, Debug)]
pub(super) struct PartCrash {
    pub(super) endpoint: CrashedEndpoint,
    /// Whether a run with the part had begun to respond.
    pub(super) has_begun: bool,
    pub(super) at: ClockTime,
}

/// What is known of one part under which endpoints have crashed.
#[derive(Clone, Debug, Default)]
pub(super) struct PartEntry {
    /// Position in the prompt.
    pub(super) depth: u8,
    /// Crashes, in no particular order.
    ///
    /// Invariant: no incarnation occurs twice, all are later than `wrote_at`, and there are at most
    /// [`MAX_PART_CRASHES`].
    crashes: Vec<PartCrash>,
    /// When an endpoint last began to write on the part and went on.
    wrote_at: Option<ClockTime>,
}

impl PartEntry {
    pub(super) fn new(depth: u8) -> Self {
        Self {
            depth,
            ..Self::default()
        }
    }

    /// Records the end of a run; returns whether it changes the crashes.
    pub(super) fn record(&mut self, end: &PartEnd, at: ClockTime) -> bool {
        if self.wrote_at >= Some(at) {
            return false;
        }
        let (endpoint, has_begun) = match end {
            PartEnd::Wrote => {
                self.wrote_at = Some(at);
                let known = self.crashes.len();
                self.crashes.retain(|crash| crash.at > at);
                return self.crashes.len() < known;
            }
            PartEnd::Crashed {
                endpoint,
                has_begun,
            } => (endpoint, *has_begun),
        };
        let mut known = self.crashes.iter_mut();
        if let Some(crash) = known.find(|crash| crash.endpoint.incarnation == endpoint.incarnation)
        {
            // Observers differ by the time that their checks took; the first one is the closest.
            crash.at = crash.at.min(at);
            let is_news = has_begun && !crash.has_begun;
            crash.has_begun |= has_begun;
            return is_news;
        }
        if self.crashes.len() == MAX_PART_CRASHES {
            // The oldest count first.
            let newest = (0..MAX_PART_CRASHES).max_by_key(|&index| self.crashes[index].at);
            self.crashes.swap_remove(newest.unwrap_or_default());
        }
        self.crashes.push(PartCrash {
            endpoint: endpoint.clone(),
            has_begun,
            at,
        });
        true
    }

    /// Number of crashes at which a run with the part had begun to respond.
    pub(super) fn begun_count(&self) -> usize {
        let begun = self.crashes.iter().filter(|crash| crash.has_begun);
        begun.count()
    }

    /// Whether an endpoint has written on the part not long before its crashes.
    pub(super) fn was_sound(&self, settings: &PartSettings) -> bool {
        let wrote_at = self.wrote_at;
        wrote_at.is_some_and(|wrote_at| self.last_at().since(wrote_at) < settings.memory)
    }

    /// Whether an endpoint is known to have begun to write on the part after a time.
    pub(super) fn has_written_since(&self, time: ClockTime) -> bool {
        self.wrote_at > Some(time)
    }

    /// Returns when the evidence against the part was complete; `None` if it is not.
    ///
    /// `count` returns the time of a crash that counts.
    pub(super) fn complete_at(
        &self,
        settings: &PartSettings,
        count: impl Fn(&PartCrash) -> Option<ClockTime>,
    ) -> Option<ClockTime> {
        let mut times: Vec<ClockTime> = self.crashes.iter().filter_map(count).collect();
        times.sort_unstable();
        if self.was_sound(settings) {
            return occasions(&times, settings.occasion).nth(settings.sound_occasions - 1);
        }
        let by_occasions = occasions(&times, settings.occasion).nth(settings.blamed_occasions - 1);
        let by_crashes = times.get(settings.blamed_crashes - 1).copied();
        by_occasions.into_iter().chain(by_crashes).min()
    }

    /// The crashes since an endpoint last wrote on the part.
    pub(super) fn crashes(&self) -> &[PartCrash] {
        &self.crashes
    }

    /// When the last known run began to write or crashed its endpoint.
    pub(super) fn last_at(&self) -> ClockTime {
        let crashed_at = self.crashes.iter().map(|crash| crash.at).max();
        crashed_at.max(self.wrote_at).unwrap_or_default()
    }

    /// All known ends of runs, with their times.
    pub(super) fn ends(&self) -> impl Iterator<Item = (PartEnd, ClockTime)> {
        let crashes = self.crashes.iter();
        let crashes = crashes.map(|crash| {
            let end = PartEnd::Crashed {
                endpoint: crash.endpoint.clone(),
                has_begun: crash.has_begun,
            };
            (end, crash.at)
        });
        let wrote = self.wrote_at.map(|at| (PartEnd::Wrote, at));
        wrote.into_iter().chain(crashes)
    }
}

/// Returns the first crash of each occasion.
fn occasions(times: &[ClockTime], occasion: Duration) -> impl Iterator<Item = ClockTime> {
    let mut last = None;
    let times = times.iter().copied();
    times.filter(move |time| {
        let is_next = last.is_none_or(|last| time.since(last) > occasion);
        if is_next {
            last = Some(*time);
        }
        is_next
    })
}
