//! `bench`: simulates routing decisions under several policies.

use ragwortroad_bench::prelude::*;

use crate::{
    command_line::BenchOptions,
    exit_status::ExitStatus, //
};

/// Runs the workload with each policy and prints the report, which is identical for equal seeds.
pub(crate) fn run(options: &BenchOptions) -> ExitStatus {
    let workload = WorkloadKind::from_name(&options.workload);
    let disturbances = DisturbanceSet::from_name(&options.disturbances);
    let (Some(workload), Some(disturbances)) = (workload, disturbances) else {
        eprintln!("unknown workload or disturbance; 'ragwortroad bench --help' lists them");
        return ExitStatus::BadInput;
    };
    let report = run_bench(&BenchSettings {
        seed: options.seed,
        workload,
        disturbances,
        warm_seconds: options.warm_seconds,
        seconds: options.seconds,
        policies: PolicyKind::comparison_series(),
        mean_margin: None,
        load_factor: options.load_factor,
    });
    match options.json {
        true => println!("{}", report.to_json()),
        false => print!("{report}"),
    }
    ExitStatus::Done
}
