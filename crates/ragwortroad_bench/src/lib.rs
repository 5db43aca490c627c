//! The decision bench: real decision code, small fakes, seeded workloads.
//!
//! Engines are fakes that batch continuously, cache prompt prefixes in limited memory, report late
//! and lose cache events; nodes are the real [`RouteTable`](ragwortroad_routing::RouteTable) and
//! [`CustomerLimiter`](ragwortroad_routing::CustomerLimiter), one each, with delays between them.
//! Nothing reads a clock: the same settings give the same report to the letter.
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

/// Everything a dependent crate usually needs.
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
