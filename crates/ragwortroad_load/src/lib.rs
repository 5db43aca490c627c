//! Open-loop load, reports with percentiles, and checks of what callers saw.
//!
//! Arrivals are fixed from a seed before the run, and every latency counts from the moment a
//! request was due, so that a slow answer does not hide the queue behind it. Afterwards the checks
//! compare what callers saw with what endpoints wrote down.
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

/// Everything a dependent crate usually needs.
pub mod prelude {
    pub use crate::{
        call_record::{
            AttemptRecord,
            CallKind,
            CallRecord, //
            ClientOutcome,
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
            OutcomeCount, //
            RunReport,
        },
    };
}

pub use prelude::*;
