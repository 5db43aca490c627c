//! A simulation run: nodes, engines and messages, driven by one event queue.

pub(crate) mod bench_event;
pub(crate) mod bench_node;
pub(crate) mod bench_run;
pub(crate) mod bench_settings;
pub(crate) mod control_bytes;
pub(crate) mod event_queue;
pub(crate) mod fleet_flow;
pub(crate) mod live_request;
pub(crate) mod membership_update;
pub(crate) mod planner_choice;
pub(crate) mod request_flow;
pub(crate) mod run_tally;
pub(crate) mod skew_tracker;

use crate::{
    BenchReport,
    BenchSettings,
    PolicyReport,
    WorkloadSpec,
    run::bench_run::BenchRun,
    workload::{
        arrival_plan::ArrivalPlan,
        disturbance_plan::DisturbancePlan, //
    }, //
};

/// Runs every policy of `settings` over the same arrivals and disturbances.
pub fn run_bench(settings: &BenchSettings) -> BenchReport {
    let mut spec = WorkloadSpec::for_kind(settings.workload);
    spec.requests_per_s *= settings.load_factor;
    let seconds = settings.warm_seconds + settings.seconds;
    let arrivals = ArrivalPlan::generate(&spec, settings.disturbances, settings.seed, seconds);
    let changes = DisturbancePlan::generate(&spec, settings.disturbances, settings.seed, seconds);
    let policies: Vec<PolicyReport> = settings
        .policies
        .iter()
        .map(|policy| BenchRun::new(settings, spec, *policy, &arrivals, &changes).run())
        .map(|run| PolicyReport::of_run(&run))
        .collect();
    BenchReport::new(settings, policies)
}
