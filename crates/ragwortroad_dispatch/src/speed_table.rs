use std::{
    collections::BTreeMap,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::{
    EndpointTag,
    LearnedSpeed,
    TimeFigure, //
};

/// Weight of one run in the mean time of a service's runs.
const MEAN_WEIGHT: f64 = 0.02;

/// Number of runs after which the mean time of a service's runs is used.
const MIN_MEAN_RUNS: u32 = 16;

/// Time after which the learned speed of an endpoint without runs is forgotten.
const LEARNED_TTL: Duration = Duration::from_secs(60);

/// How long work takes at endpoints: at this moment, as they tell edges, and lastingly, as learned
/// from finished runs.
#[derive(Debug, Default)]
pub struct SpeedTable {
    /// Latest figure told to any edge, and when the endpoint was first known to differ from its usual
    /// speed; none of an endpoint that tells none.
    told: BTreeMap<EndpointTag, (TimeFigure, ClockTime)>,
    /// Latest figure told to this edge.
    heard: BTreeMap<EndpointTag, TimeFigure>,
    /// Invariant: empty until an endpoint has told a figure.
    learned: BTreeMap<EndpointTag, (LearnedSpeed, ClockTime)>,
    /// Mean time of runs in seconds and their number, by route or service.
    means: BTreeMap<String, (f64, u32)>,
    /// Whether any endpoint has told a figure: only then do endpoints share their VMs with others,
    /// and speeds are learned, also of endpoints that tell none.
    has_told: bool,
}

impl SpeedTable {
    /// Records a figure that an endpoint has told this edge.
    pub fn note_heard(&mut self, endpoint: EndpointTag, figure: TimeFigure) {
        self.heard.insert(endpoint, figure);
        self.note_told(endpoint, figure);
    }

    /// Records a figure that an endpoint has told any edge.
    pub fn note_told(&mut self, endpoint: EndpointTag, figure: TimeFigure) {
        self.has_told = true;
        let known = self.told.entry(endpoint);
        let (latest, unusual_since) = known.or_insert((figure, figure.told_at));
        if figure.told_at > latest.told_at {
            if !latest.is_unusual() {
                *unusual_since = figure.told_at;
            }
            *latest = figure;
        }
    }

    /// Records a run: the response time of a plain call, or the time per event of a stream.
    ///
    /// `work` names runs that take equally long at equal endpoints. What the endpoint has told of
    /// this moment is taken out.
    pub fn note_run(&mut self, work: &str, endpoint: EndpointTag, time: Duration, now: ClockTime) {
        if !self.has_told {
            return;
        }
        let seconds = time.as_secs_f64() / self.told_factor(endpoint, now);
        let (mean, runs) = self.means.entry(work.to_owned()).or_default();
        *runs = runs.saturating_add(1);
        *mean += (seconds - *mean) * (1.0 / f64::from(*runs)).max(MEAN_WEIGHT);
        if *runs < MIN_MEAN_RUNS || *mean <= 0.0 {
            return;
        }
        let ratio = seconds / *mean;
        let entry = self.learned.entry(endpoint);
        let (speed, noted_at) = entry.or_insert((LearnedSpeed::new(now), now));
        speed.note(ratio, now);
        *noted_at = now;
    }

    /// Returns how long work takes at an endpoint now, as a multiple of the usual time.
    pub fn factor(&self, endpoint: EndpointTag, now: ClockTime) -> f64 {
        let learned = self.learned.get(&endpoint);
        let learned = learned.map_or(1.0, |(speed, _)| speed.factor(now));
        self.told_factor(endpoint, now) * learned
    }

    /// Returns how long an endpoint has differed from its usual speed: as long as can be if that was
    /// learned from its finished runs.
    pub fn differed_for(&self, endpoint: EndpointTag, now: ClockTime) -> Duration {
        let learned = self.learned.get(&endpoint);
        if learned.is_some_and(|(speed, _)| speed.factor(now) != 1.0) {
            return Duration::MAX;
        }
        let told = self.told.get(&endpoint);
        let told = told.filter(|(figure, _)| figure.is_unusual());
        told.map_or(Duration::ZERO, |(_, unusual_since)| {
            now.since(*unusual_since)
        })
    }

    fn told_factor(&self, endpoint: EndpointTag, now: ClockTime) -> f64 {
        let told = self.told.get(&endpoint);
        told.map_or(1.0, |(figure, unusual_since)| {
            figure.factor(figure.told_at.since(*unusual_since), now)
        })
    }

    /// Returns the figures told to this edge that still count, for the other edges.
    pub fn heard(&self, now: ClockTime) -> impl Iterator<Item = (EndpointTag, TimeFigure)> {
        let heard = self.heard.iter();
        let heard = heard.map(|(&endpoint, &figure)| (endpoint, figure));
        heard.filter(move |(_, figure)| !figure.is_expired(now))
    }

    /// Returns whether nothing is known that differs from the usual speed.
    pub fn is_empty(&self) -> bool {
        self.told.is_empty() && self.learned.is_empty()
    }

    /// Returns the number of endpoints that have told that work takes notably long now.
    pub fn slow_count(&self, now: ClockTime) -> usize {
        let told = self.told.iter();
        told.filter(|(endpoint, (figure, _))| {
            figure.is_unusual() && self.told_factor(**endpoint, now) > 1.0
        })
        .count()
    }

    /// Forgets an endpoint that has restarted or is gone.
    pub fn forget(&mut self, endpoint: EndpointTag) {
        self.told.remove(&endpoint);
        self.heard.remove(&endpoint);
        self.learned.remove(&endpoint);
    }

    /// Removes what is out of date.
    pub fn expire(&mut self, now: ClockTime) {
        self.told.retain(|_, (figure, _)| !figure.is_expired(now));
        self.heard.retain(|_, figure| !figure.is_expired(now));
        self.learned
            .retain(|_, (_, noted_at)| now.since(*noted_at) < LEARNED_TTL);
        if self.learned.is_empty() {
            self.means.clear();
        }
    }
}
