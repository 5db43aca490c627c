//! `serve`: runs one node of the fleet.

use std::path::Path;

use ragwortroad_node::prelude::*;
use ragwortroad_settings::prelude::*;
use signal_hook::{
    consts::{
        SIGINT,
        SIGTERM, //
    },
    iterator::Signals, //
};

use crate::{
    exit_status::ExitStatus,
    log_output::start_log, //
};

/// Runs a node until SIGTERM or SIGINT, then drains it.
pub(crate) fn run(path: &Path) -> ExitStatus {
    let settings = match ProcessSettings::from_file(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitStatus::BadInput;
        }
    };
    start_log(&settings.log);
    // Installed before the first thread starts, so that no signal is missed.
    let mut signals = match Signals::new([SIGTERM, SIGINT]) {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("failed to install the signal handlers: {error}");
            return ExitStatus::Unusable;
        }
    };
    let node = match NodeProcess::start(settings) {
        Ok(node) => node,
        Err(error) => {
            eprintln!("{error}");
            return ExitStatus::Unusable;
        }
    };
    tracing::info!(callers = %node.caller_address(), peers = %node.peer_address(), "serving");
    if let Some(signal) = signals.forever().next() {
        tracing::info!(signal, in_flight = node.in_flight(), "draining");
    }
    node.stop();
    tracing::info!("stopped");
    ExitStatus::Done
}
