//! Stand-ins for model engines and plain services, with fault injection.
//!
//! They serve the real interfaces over real sockets, announce themselves, and record the requests
//! they run, so that checks rely on the endpoints' records and not on what the fleet reports
//! about itself. Faults can be injected at any time through a [`FaultPlan`].
//!
//! ```
//! use ragwortroad_standin::prelude::*;
//!
//! let engine = StandinEngine::start(EngineSettings::default())?;
//! assert!(engine.records().is_empty());
//! engine.stop();
//! # Ok::<(), StandinError>(())
//! ```

mod announce_loop;
mod batch_semaphore;
mod engine_control;
mod engine_handler;
mod engine_settings;
mod engine_state;
mod engine_stream;
mod expected_tokens;
mod fault_plan;
mod order_record;
mod port_block;
mod prefix_cache;
mod process_start;
mod run_record;
mod service_settings;
mod standin_engine;
mod standin_error;
mod standin_host;
mod standin_reply;
mod standin_server;
mod standin_service;

/// Re-exports of the items that dependent crates usually need.
pub mod prelude {
    pub use crate::{
        engine_settings::EngineSettings,
        expected_tokens::expected_tokens,
        fault_plan::FaultPlan,
        order_record::OrderRecord,
        port_block::reserve_port,
        process_start::{
            bind_listener,
            hold_process_starts,
            start_process, //
        },
        run_record::{
            RunRecord,
            RunStatus, //
        },
        service_settings::ServiceSettings,
        standin_engine::StandinEngine,
        standin_error::StandinError,
        standin_service::StandinService, //
    };
}

pub use prelude::*;
