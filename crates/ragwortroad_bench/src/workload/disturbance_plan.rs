use crate::{
    DisturbanceSet,
    WorkloadSpec,
    workload::bench_rng::BenchRng, //
};

/// The disturbances of a run with their times in milliseconds, sorted by time.
#[derive(Clone, Debug, Default)]
pub(crate) struct DisturbancePlan {
    pub(crate) events: Vec<(u64, DisturbanceEvent)>,
}

/// A disturbance or the recovery from one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DisturbanceEvent {
    /// An engine announces that it leaves.
    EngineLeaves(usize),
    /// A replacement process of an engine starts with an empty cache.
    EngineStarts(usize),
    /// An engine crashes and loses its requests.
    EngineCrashes(usize),
    /// A node stops.
    NodeStops(usize),
    /// A node starts again without its earlier state.
    NodeStarts(usize),
}

const CHURN_INTERVAL_MS: u64 = 10_000;
const LEAVE_TO_START_MS: u64 = 8_000;
const CRASH_TO_START_MS: u64 = 4_000;
const RESTART_INTERVAL_MS: u64 = 20_000;
const RESTART_DURATION_MS: u64 = 3_000;
const ZONE_OUTAGE_MS: u64 = 15_000;

impl DisturbancePlan {
    /// Generates the disturbances of a run of `seconds`.
    pub(crate) fn generate(
        spec: &WorkloadSpec,
        disturbances: DisturbanceSet,
        seed: u64,
        seconds: u64,
    ) -> Self {
        let end = seconds * 1000;
        let mut rng = BenchRng::new(seed, 0xd15);
        let mut plan = Self::default();
        if disturbances.churn {
            plan.add_churn(spec, &mut rng, end);
        }
        if disturbances.node_restarts {
            let mut at = RESTART_INTERVAL_MS / 2;
            while at < end {
                let node = rng.below(spec.nodes as u64) as usize;
                plan.add(at, DisturbanceEvent::NodeStops(node));
                plan.add(at + RESTART_DURATION_MS, DisturbanceEvent::NodeStarts(node));
                at += RESTART_INTERVAL_MS;
            }
        }
        if disturbances.zone_loss {
            plan.add_zone_loss(spec, end / 2);
        }
        plan.events.sort_by_key(|(at, _)| *at);
        plan
    }

    fn add_churn(&mut self, spec: &WorkloadSpec, rng: &mut BenchRng, end: u64) {
        let mut at = CHURN_INTERVAL_MS / 2;
        let mut crash = false;
        while at < end {
            let engine = rng.below(spec.engines as u64) as usize;
            if crash {
                self.add(at, DisturbanceEvent::EngineCrashes(engine));
                self.add(
                    at + CRASH_TO_START_MS,
                    DisturbanceEvent::EngineStarts(engine),
                );
            } else {
                self.add(at, DisturbanceEvent::EngineLeaves(engine));
                self.add(
                    at + LEAVE_TO_START_MS,
                    DisturbanceEvent::EngineStarts(engine),
                );
            }
            crash = !crash;
            at += CHURN_INTERVAL_MS;
        }
    }

    /// Adds the loss of the zone with the highest index: the planner breaks ties in favor of low
    /// indexes, and losing a low zone would let the ties affect the result.
    fn add_zone_loss(&mut self, spec: &WorkloadSpec, at: u64) {
        let lost = spec.zones - 1;
        for node in (0..spec.nodes).filter(|node| node % spec.zones == lost) {
            self.add(at, DisturbanceEvent::NodeStops(node));
            self.add(at + ZONE_OUTAGE_MS, DisturbanceEvent::NodeStarts(node));
        }
        for engine in (0..spec.engines).filter(|engine| engine % spec.zones == lost) {
            self.add(at, DisturbanceEvent::EngineCrashes(engine));
            self.add(at + ZONE_OUTAGE_MS, DisturbanceEvent::EngineStarts(engine));
        }
    }

    fn add(&mut self, at: u64, change: DisturbanceEvent) {
        self.events.push((at, change));
    }
}
