//! Open-loop load generator with latency percentiles and checks of the clients' results.
//!
//! Arrivals are generated from a seed before the run, and every latency is measured from the
//! request's due time, so that a slow response doesn't hide the queue behind it. After the run,
//! checks compare the clients' records with those of the endpoints.
//!
//! ```
//! use ragwortroad_load::prelude::*;
//!
//! let settings = LoadSettings {
//!     duration: std::time::Duration::ZERO,
//!     ..LoadSettings::default()
//! };
//! let report = run_load(settings)?;
//! assert!(verify_run(&report.notes, &[]).is_empty());
//! # Ok::<(), LoadError>(())
//! ```

mod address_cache;
mod arrival_plan;
mod call_record;
mod call_retry;
mod chat_script;
mod client_request;
mod event_reader;
mod http_client;
mod latency_set;
mod load_error;
mod load_run;
mod load_settings;
mod load_state;
mod response_check;
mod run_check;
mod run_report;

/// Re-exports of the items that dependent crates usually need.
pub mod prelude {
    pub use crate::{
        call_record::{
            AttemptRecord,
            CallKind,
            CallRecord,
            ClientOutcome, //
        },
        latency_set::LatencySummary,
        load_error::LoadError,
        load_run::run_load,
        load_settings::{
            CustomerLoad,
            LoadSettings,
            SurgePlan, //
        },
        response_check::{
            ResponseCheck,
            ResponseFault, //
        },
        run_check::{
            RunViolation,
            verify_run, //
        },
        run_report::{
            OutcomeCount,
            RunReport, //
        },
    };
}

pub use prelude::*;
