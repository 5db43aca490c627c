use std::time::{
    Duration,
    Instant, //
};

use ragwortroad_standin::prelude::*;

/// Default load bound of an engine, as a multiple of the fleet's mean load.
const LOAD_FACTOR: f64 = 1.25;

/// Minimum load bound: an engine with at most this load is within its bound.
const LOAD_FLOOR: usize = 4;

/// The bound uses the highest mean within this window, about the lifetime of a request, since
/// requests admitted under a higher mean still run after the mean has fallen.
const MEAN_WINDOW: Duration = Duration::from_secs(1);

/// Start and end times of the runs of one engine, from its records.
pub(crate) struct RunSpans {
    name: String,
    spans: Vec<(Instant, Option<Instant>)>,
    /// When the engine's VM was lost; `None` if it was not.
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

    /// Marks the engine's VM as lost at `moment`.
    pub(crate) fn lost_at(self, moment: Instant) -> Self {
        Self {
            lost_at: Some(moment),
            ..self
        }
    }

    /// Whether the engine counts in the fleet's mean at `moment`.
    fn is_present(&self, moment: Instant) -> bool {
        self.lost_at.is_none_or(|lost| moment < lost)
    }

    /// Number of running requests at `moment`.
    fn load_at(&self, moment: Instant) -> usize {
        let runs = self.spans.iter();
        let is_running = |(from, until): &&(Instant, Option<Instant>)| {
            *from <= moment && until.is_none_or(|until| until > moment)
        };
        runs.filter(is_running).count()
    }
}

/// Returns all loads above the bound, checked at every start of a run.
pub(crate) fn bound_violations(engines: &[RunSpans]) -> Vec<String> {
    let starts = |engine: &RunSpans| engine.spans.iter().map(|(from, _)| *from).collect();
    let mut moments: Vec<Instant> = engines
        .iter()
        .flat_map(|engine| -> Vec<Instant> { starts(engine) })
        .collect();
    moments.sort();
    let mean_at = |moment| {
        let total: usize = engines.iter().map(|engine| engine.load_at(moment)).sum();
        // The bound is defined by the mean over the present engines.
        let present = engines.iter().filter(|engine| engine.is_present(moment));
        total as f64 / present.count().max(1) as f64
    };
    let means: Vec<(Instant, f64)> = moments.iter().map(|at| (*at, mean_at(*at))).collect();
    let mut violations = Vec::new();
    for (moment, _) in &means {
        let recent = means
            .iter()
            .filter(|(at, _)| at <= moment && *moment - *at <= MEAN_WINDOW);
        let mean = recent.map(|(_, mean)| *mean).fold(0.0, f64::max);
        let bound = LOAD_FLOOR.max((LOAD_FACTOR * mean).ceil() as usize);
        for engine in engines {
            let load = engine.load_at(*moment);
            if load > bound {
                let max_mean_within = |span: Duration| {
                    let earlier = means
                        .iter()
                        .filter(|(at, _)| at <= moment && *moment - *at <= span);
                    earlier.map(|(_, mean)| *mean).fold(0.0, f64::max)
                };
                let name = &engine.name;
                let mean2 = max_mean_within(MEAN_WINDOW * 2);
                let mean3 = max_mean_within(MEAN_WINDOW * 3);
                violations.push(format!(
                    "{name}: {load} at a mean of {mean:.2} ({mean2:.2} in 2 s, {mean3:.2} in 3 s)"
                ));
            }
        }
    }
    violations
}
