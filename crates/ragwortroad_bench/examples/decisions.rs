//! Runs the decision bench: `cargo run --release -p ragwortroad_bench --example decisions -- --seed 7`.

use clap::Parser;

use ragwortroad_bench::prelude::*;

/// Compares routing policies in seeded, deterministic simulations.
#[derive(Debug)]
#[derive(Parser)]
struct DecisionArgs {
    /// Seed of all random draws.
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// ljosmynd, splashmark or target.
    #[arg(long, default_value = "ljosmynd")]
    workload: String,
    /// calm, all, or some of churn, differing_views, surge, late_reports, event_gaps, zone_loss,
    /// node_restarts joined by '+'.
    #[arg(long, default_value = "churn")]
    disturbances: String,
    /// Simulated warm-up before the measurement, in seconds.
    #[arg(long, default_value_t = 120)]
    warm_seconds: u64,
    /// Simulated duration of the measurement, in seconds.
    #[arg(long, default_value_t = 240)]
    seconds: u64,
    /// Request rate as a multiple of the workload's rate.
    #[arg(long, default_value_t = 1.0)]
    load_factor: f64,
    /// Runs only the planner and the policy with home nodes and all features.
    #[arg(long)]
    short: bool,
    /// Margin that admission keeps below the load bound, in standard deviations of the mean.
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
        eprintln!("unknown workload or disturbance; see --help");
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
