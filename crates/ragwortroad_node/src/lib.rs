//! A node process of the fleet: supervisor, control thread and traffic threads.
//!
//! [`NodeProcess`] combines the other crates into a running node. Only this crate reads clocks and
//! draws random seeds; the deterministic crates get them as arguments.
//!
//! ```no_run
//! use ragwortroad_node::prelude::*;
//! use ragwortroad_settings::prelude::*;
//!
//! let settings = ProcessSettings::from_file("node-1.ini".as_ref())?;
//! let node = NodeProcess::start(settings)?;
//! println!("clients connect to {}", node.caller_address());
//! node.stop();
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod byte_counts;
mod control;
mod disk_worker;
mod event_log;
mod member;
mod metric_pages;
mod node_error;
mod node_process;
mod node_secrets;
mod order;

mod request;
mod slot;
mod wire;

/// The types that a dependent crate usually needs.
pub mod prelude {
    pub use crate::{
        node_error::NodeError,
        node_process::NodeProcess, //
    };
}

pub use prelude::*;
