//! The registry process, which stores a site's configuration and tracks its endpoints.
//!
//! A few VMs with disks run one registry each. The registries agree on the configuration through a
//! replicated log, reply to operators, receive announcements of endpoints, and tell clients which
//! edges to use. Edges connect to every registry, and each registry passes on what it learns at
//! once.
//!
//! This crate does not know the public interface: a [`RegistryPort`](prelude::RegistryPort) decodes
//! requests into [`ControlCall`](prelude::ControlCall)s and encodes replies.

mod call_body;
mod call_flow;
mod call_server;
mod call_session;
mod call_socket;
mod call_source;
mod config_flow;
mod config_register;
mod consensus_driver;
mod control_call;
mod crash_flow;
mod customer_flow;
mod delta_history;
mod directory_flow;
mod directory_process;
mod drain_flow;
mod edge_entry;
mod edge_flow;
mod first_start;
mod folder_report;
mod folder_worker;
mod group_recovery;
mod group_status;
mod hint_store;
mod indexed_read;
mod keeper_flow;
mod notice_batch;
mod notice_flow;
mod open_calls;
mod origin_flow;
mod origin_store;
mod peer_dialer;
mod peer_entry;
mod peer_flow;
mod put_flow;
mod put_origin;
mod queued_drain;
mod queued_notice;
mod queued_put;
mod queued_read;
mod read_flow;
mod read_origin;
mod register_command;
mod register_snapshot;
mod registry_error;
mod registry_event;
mod registry_port;
mod registry_process;
mod registry_state;
mod registry_stores;
mod spread_flow;
mod start_time;
mod status_flow;
mod stop_stage;
mod store_error;
#[cfg(test)]
mod tests;
mod version_flow;
mod version_record;
mod version_report;
mod version_store;
mod warmup_flow;

/// The items that a dependent crate usually needs.
pub mod prelude {
    pub use crate::{
        config_register::{
            ConfigRegister,
            RegisterChange, //
        },
        control_call::{
            ControlCall,
            ControlReply, //
        },
        directory_process::run_directory,
        group_recovery::{
            GroupRecovery,
            RecoveryError, //
        },
        register_command::RegisterCommand,
        register_snapshot::RegisterSnapshot,
        registry_error::RegistryError,
        registry_port::RegistryPort,
        registry_process::{
            RegistrySignal,
            run_registry, //
        }, //
    };
}

pub use prelude::*;
