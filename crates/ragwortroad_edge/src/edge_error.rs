use std::{
    io,
    net::SocketAddr, //
};

use snafu::Snafu;

/// Reason why an edge cannot start.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EdgeError {
    /// A required setting is missing.
    #[snafu(display("[edge] {key} is missing; an edge requires it"))]
    MissingSetting {
        /// Name of the missing key.
        key: &'static str,
    },
    /// The address is in use or does not belong to this VM.
    #[snafu(display(
        "cannot listen on {address}: {source}; stop the process that uses it or change the address"
    ))]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// Error reported by the operating system.
        source: io::Error,
    },
    /// The async runtime could not be created.
    #[snafu(display(
        "cannot create the async runtime: {source}; check the VM's memory and process limits"
    ))]
    Start {
        /// Error reported by the operating system.
        source: io::Error,
    },
}
