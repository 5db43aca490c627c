//! The decision bench: a discrete-event simulation of routing decisions on seeded workloads.
//!
//! Engines are fakes with continuous batching, a prefix cache of limited size, delayed load reports
//! and lost cache events. Each node runs the real [`RouteTable`](ragwortroad_routing::RouteTable)
//! and [`CustomerLimiter`](ragwortroad_routing::CustomerLimiter); messages between nodes are
//! delayed. No code reads a clock: equal settings give byte-identical reports.
//!
//! ```
//! use ragwortroad_bench::prelude::*;
//!
//! let settings = BenchSettings {
//!     workload: WorkloadKind::Ljosmynd,
//!     seconds: 5,
//!     warm_seconds: 1,
//!     policies: vec![PolicyKind::Planner, PolicyKind::Homes(FeatureSet::ALL)],
//!     ..BenchSettings::default()
//! };
//! let report = run_bench(&settings);
//! assert_eq!(report.policies.len(), 2);
//! ```

mod fake;
mod policy;
mod report;
mod run;
mod workload;

/// The items that dependent crates usually import.
pub mod prelude {
    pub use crate::{
        policy::policy_kind::{
            FeatureSet,
            PolicyKind, //
        },
        report::{
            bench_report::BenchReport,
            policy_report::PolicyReport, //
        },
        run::{
            bench_settings::BenchSettings,
            run_bench, //
        },
        workload::{
            disturbance_set::DisturbanceSet,
            workload_spec::{
                WorkloadKind,
                WorkloadSpec, //
            },
        }, //
    };
}

pub use prelude::*;
