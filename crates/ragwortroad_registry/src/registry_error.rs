use std::{
    io,
    net::SocketAddr, //
};

use snafu::Snafu;

/// Why a registry or a directory cannot run.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RegistryError {
    /// A required setting is missing.
    #[snafu(display("[registry] {key} is missing; this process cannot run without it"))]
    MissingSetting {
        /// Key of the setting in the `[registry]` section.
        key: &'static str,
    },
    /// An address could not be bound, because it is in use or does not belong to this VM.
    #[snafu(display(
        "cannot listen on {address}: {source}; free the address or change the setting"
    ))]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// Error reported by the operating system.
        source: io::Error,
    },
    /// The runtime or a thread could not be started.
    #[snafu(display(
        "cannot start a runtime or thread: {source}; check the memory and limits of the VM"
    ))]
    Start {
        /// Error reported by the operating system.
        source: io::Error,
    },
}
