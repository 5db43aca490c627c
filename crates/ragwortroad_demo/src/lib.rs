//! A small fleet with stand-in endpoints in one process, for demonstrations and tests.
//!
//! Only the endpoints are simulated: nodes communicate over QUIC on loopback with freshly generated
//! keys, members write to data folders in a temporary directory, and clients and operators use
//! HTTP.
//!
//! ```no_run
//! use ragwortroad_demo::prelude::*;
//!
//! let fleet = SmallFleet::start(FleetPlan::default())?;
//! fleet.declare()?;
//! let response = fleet.operator().ask("show endpoints")?;
//! println!("{}", response.text);
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

/// Re-exports of the items that dependent crates usually need.
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
