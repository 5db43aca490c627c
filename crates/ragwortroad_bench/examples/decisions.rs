//! Runs the decision bench: `cargo run --release -p ragwortroad_bench --example decisions -- --seed 7`.

use clap::Parser;

use ragwortroad_bench::prelude::*;

/// Compares ways of choosing an engine on seeded, deterministic runs.
#[derive(Debug)]
#[derive(Parser)]
struct DecisionArgs {
    /// Decides every draw.
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// ljosmynd, splashmark or target.
    #[arg(long, default_value = "ljosmynd")]
    workload: String,
    /// calm, all, or some of churn, differing_views, surge, late_reports, event_gaps, zone_loss,
    /// node_restarts joined by '+'.
    #[arg(long, default_value = "churn")]
    disturbances: String,
    /// Seconds before the measured time.
    #[arg(long, default_value_t = 120)]
    warm_seconds: u64,
    /// Seconds measured.
    #[arg(long, default_value_t = 240)]
    seconds: u64,
    /// Requests a second, as a multiple of the workload's.
    #[arg(long, default_value_t = 1.0)]
    load_factor: f64,
    /// Runs the planner and our whole policy only.
    #[arg(long)]
    short: bool,
    /// Standard deviations of the mean that admissions leave below the bound.
    #[arg(long)]
    mean_margin: Option<f64>,
    /// Prints JSON.
    #[arg(long)]
    json: bool,
}

fn main() -> std::process::ExitCode {
    let args = DecisionArgs::parse();
    let workload = WorkloadKind::from_name(&args.workload);
    let disturbances = DisturbanceSet::from_name(&args.disturbances);
    let (Some(workload), Some(disturbances)) = (workload, disturbances) else {
        eprintln!("no such workload or disturbance; --help names them");
        return std::process::ExitCode::FAILURE;
    };
    let policies = if args.short {
        vec![PolicyKind::Planner, PolicyKind::Homes(FeatureSet::ALL)]
    } else {
        PolicyKind::comparison_series()
    };
    let report = run_bench(&BenchSettings {
        seed: args.seed,
        workload,
        disturbances,
        warm_seconds: args.warm_seconds,
        seconds: args.seconds,
        policies,
        load_factor: args.load_factor,
        mean_margin: args.mean_margin,
    });
    if args.json {
        println!("{}", report.to_json());
    } else {
        print!("{report}");
    }
    std::process::ExitCode::SUCCESS
}
