use crate::{
    DisturbanceSet,
    WorkloadSpec,
    workload::bench_draw::BenchDraw, //
};

/// Everything that goes wrong in a run, in the order of time.
#[derive(Clone, Debug, Default)]
pub(crate) struct DisturbancePlan {
    pub(crate) changes: Vec<(u64, BenchChange)>,
}

/// One thing that goes wrong, or right again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BenchChange {
    /// An engine announces that it leaves.
    EngineLeaves(usize),
    /// A process in its place starts, with an empty cache.
    EngineStarts(usize),
    /// An engine is gone at once, with everything it worked on.
    EngineCrashes(usize),
    /// A node is gone.
    NodeStops(usize),
    /// A node is back and knows nothing.
    NodeStarts(usize),
}

const CHURN_EVERY_MS: u64 = 10_000;
const LEAVE_TO_START_MS: u64 = 8_000;
const CRASH_TO_START_MS: u64 = 4_000;
const RESTART_EVERY_MS: u64 = 20_000;
const RESTART_TAKES_MS: u64 = 3_000;
const ZONE_LOST_MS: u64 = 15_000;

impl DisturbancePlan {
    /// Draws the changes of a run of `seconds`.
    pub(crate) fn draw(
        spec: &WorkloadSpec,
        disturbances: DisturbanceSet,
        seed: u64,
        seconds: u64,
    ) -> Self {
        let end = seconds * 1000;
        let mut draw = BenchDraw::new(seed, 0xd15);
        let mut plan = Self::default();
        if disturbances.churn {
            plan.draw_churn(spec, &mut draw, end);
        }
        if disturbances.node_restarts {
            let mut at = RESTART_EVERY_MS / 2;
            while at < end {
                let node = draw.below(spec.nodes as u64) as usize;
                plan.add(at, BenchChange::NodeStops(node));
                plan.add(at + RESTART_TAKES_MS, BenchChange::NodeStarts(node));
                at += RESTART_EVERY_MS;
            }
        }
        if disturbances.zone_loss {
            plan.lose_zone(spec, end / 2);
        }
        plan.changes.sort_by_key(|(at, _)| *at);
        plan
    }

    fn draw_churn(&mut self, spec: &WorkloadSpec, draw: &mut BenchDraw, end: u64) {
        let mut at = CHURN_EVERY_MS / 2;
        let mut crash = false;
        while at < end {
            let engine = draw.below(spec.engines as u64) as usize;
            if crash {
                self.add(at, BenchChange::EngineCrashes(engine));
                self.add(at + CRASH_TO_START_MS, BenchChange::EngineStarts(engine));
            } else {
                self.add(at, BenchChange::EngineLeaves(engine));
                self.add(at + LEAVE_TO_START_MS, BenchChange::EngineStarts(engine));
            }
            crash = !crash;
            at += CHURN_EVERY_MS;
        }
    }

    /// The last zone is lost, so that the planner's ties, which favour low numbers, decide nothing.
    fn lose_zone(&mut self, spec: &WorkloadSpec, at: u64) {
        let lost = spec.zones - 1;
        for node in (0..spec.nodes).filter(|node| node % spec.zones == lost) {
            self.add(at, BenchChange::NodeStops(node));
            self.add(at + ZONE_LOST_MS, BenchChange::NodeStarts(node));
        }
        for engine in (0..spec.engines).filter(|engine| engine % spec.zones == lost) {
            self.add(at, BenchChange::EngineCrashes(engine));
            self.add(at + ZONE_LOST_MS, BenchChange::EngineStarts(engine));
        }
    }

    fn add(&mut self, at: u64, change: BenchChange) {
        self.changes.push((at, change));
    }
}
