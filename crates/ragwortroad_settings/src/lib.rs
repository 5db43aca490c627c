//! Settings of a process, in an INI file that is validated as a whole.
//!
//! [`ProcessSettings::from_bytes`] reports all faults of a file at once, each with its line, its
//! key and a remedy, so that an operator can fix them in one go.
//!
//! ```
//! use ragwortroad_settings::prelude::*;
//!
//! let faults = ProcessSettings::from_bytes(b"[node]\nnaem = rvk-a-1\n").unwrap_err();
//! assert!(faults.to_string().contains("did you mean 'name'"));
//! ```

mod customer_weights;
mod engine_order_settings;
mod fleet_settings;
mod forward_settings;
mod limit_settings;
mod line_index;
mod log_settings;
mod mechanism_settings;
mod node_settings;
mod process_settings;
mod seed_address;
mod settings_error;
mod settings_fault;
mod settings_reader;
mod state_settings;

/// Common imports for dependent crates.
pub mod prelude {
    pub use crate::{
        customer_weights::CustomerWeights,
        engine_order_settings::EngineOrderSettings,
        fleet_settings::FleetSettings,
        forward_settings::{
            ForwardSettings,
            MAX_DISK_LOSSES, //
        },
        limit_settings::LimitSettings,
        log_settings::{
            LogFormat,
            LogSettings, //
        },
        mechanism_settings::MechanismSettings,
        node_settings::NodeSettings,
        process_settings::ProcessSettings,
        seed_address::SeedAddress,
        settings_error::SettingsError,
        settings_fault::{
            FaultList,
            SettingsFault, //
        },
        state_settings::StateSettings,
    };
}

pub use prelude::*;
