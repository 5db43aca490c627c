use std::time::{
    Duration,
    Instant, //
};

use ragwortroad_standin::prelude::*;

/// The multiple of the fleet's mean that a fleet has until an operator sets another.
const LOAD_FACTOR: f64 = 1.25;

/// Up to this load an engine is never above its bound.
const LOAD_FLOOR: usize = 4;

/// The mean falls while requests that were admitted under a higher one still run; so the bound is
/// that of the highest mean within this time, about the life of a request.
const MEAN_WINDOW: Duration = Duration::from_secs(1);

/// When each run of one engine began and ended, by its own record.
pub(crate) struct RunSpans {
    name: String,
    spans: Vec<(Instant, Option<Instant>)>,
    /// From then on the engine is not there any more.
    lost_at: Option<Instant>,
}

impl RunSpans {
    pub(crate) fn new(start: Instant, records: &[RunRecord]) -> Self {
        let at = |moment: u64| start + Duration::from_millis(moment);
        let span = |record: &RunRecord| (at(record.began_ms), record.ended_ms.map(at));
        let name = records.first().map(|record| record.endpoint.clone());
        Self {
            name: name.unwrap_or_default(),
            spans: records.iter().map(span).collect(),
            lost_at: None,
        }
    }

    /// The same of an engine whose VM was lost at `moment`.
    pub(crate) fn lost_at(self, moment: Instant) -> Self {
        Self {
            lost_at: Some(moment),
            ..self
        }
    }

    /// Whether the engine is part of the fleet whose mean counts.
    fn is_there(&self, moment: Instant) -> bool {
        self.lost_at.is_none_or(|lost| moment < lost)
    }

    /// Runs under way at `moment`.
    fn load_at(&self, moment: Instant) -> usize {
        let runs = self.spans.iter();
        let under_way = |(from, until): &&(Instant, Option<Instant>)| {
            *from <= moment && until.is_none_or(|until| until > moment)
        };
        runs.filter(under_way).count()
    }
}

/// The loads beyond the bound, at every moment at which an engine began a run.
pub(crate) fn bound_violations(engines: &[RunSpans]) -> Vec<String> {
    let begins = |engine: &RunSpans| engine.spans.iter().map(|(from, _)| *from).collect();
    let mut moments: Vec<Instant> = engines
        .iter()
        .flat_map(|engine| -> Vec<Instant> { begins(engine) })
        .collect();
    moments.sort();
    let mean_at = |moment| {
        let total: usize = engines.iter().map(|engine| engine.load_at(moment)).sum();
        // The bound is defined by the mean over the engines that are there.
        let there = engines.iter().filter(|engine| engine.is_there(moment));
        total as f64 / there.count().max(1) as f64
    };
    let means: Vec<(Instant, f64)> = moments.iter().map(|at| (*at, mean_at(*at))).collect();
    let mut beyond = Vec::new();
    for (moment, _) in &means {
        let recent = means
            .iter()
            .filter(|(at, _)| at <= moment && *moment - *at <= MEAN_WINDOW);
        let mean = recent.map(|(_, mean)| *mean).fold(0.0, f64::max);
        let bound = LOAD_FLOOR.max((LOAD_FACTOR * mean).ceil() as usize);
        for engine in engines {
            let load = engine.load_at(*moment);
            if load > bound {
                let older = |span: Duration| {
                    let earlier = means
                        .iter()
                        .filter(|(at, _)| at <= moment && *moment - *at <= span);
                    earlier.map(|(_, mean)| *mean).fold(0.0, f64::max)
                };
                let name = &engine.name;
                let two = older(MEAN_WINDOW * 2);
                let three = older(MEAN_WINDOW * 3);
                beyond.push(format!(
                    "{name}: {load} at a mean of {mean:.2} ({two:.2} in 2 s, {three:.2} in 3 s)"
                ));
            }
        }
    }
    beyond
}
