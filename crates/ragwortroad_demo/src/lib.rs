//! A small fleet with stand-in endpoints in one process, for demonstrations and tests.
//!
//! Everything is real but the endpoints: nodes talk over QUIC on loopback with keys made for the
//! occasion, members write to data folders below a temporary one, callers and operators use HTTP.
//!
//! ```no_run
//! use ragwortroad_demo::prelude::*;
//!
//! let fleet = SmallFleet::start(FleetPlan::default())?;
//! fleet.declare()?;
//! let answer = fleet.operator().ask("show endpoints")?;
//! println!("{}", answer.text);
//! fleet.stop();
//! # Ok::<(), DemoError>(())
//! ```

mod demo_error;
mod demo_report;
mod demo_run;
mod fleet_plan;
mod operator_client;
mod small_fleet;
mod timeline_collection;

/// Everything a dependent crate usually needs.
pub mod prelude {
    pub use crate::{
        demo_error::DemoError,
        demo_report::DemoReport,
        demo_run::{
            DemoSettings,
            run_demo, //
        },
        fleet_plan::FleetPlan,
        operator_client::{
            LineResponse,
            OperatorClient, //
        },
        small_fleet::{
            SmallFleet,
            wait_until, //
        },
        timeline_collection::collect_timeline,
    };
}

pub use prelude::*;
