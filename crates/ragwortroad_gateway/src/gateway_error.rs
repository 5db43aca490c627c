use std::{
    io,
    net::SocketAddr, //
};

use snafu::Snafu;

/// An error that prevents a gateway from starting.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum GatewayError {
    /// The listening address is in use or does not belong to this VM.
    #[snafu(display(
        "cannot listen on {address}: {source}; free the port or name another one in the settings"
    ))]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error from the operating system.
        source: io::Error,
    },
    /// The runtime with the traffic threads could not be started.
    #[snafu(display("cannot start traffic threads: {source}; raise the limit of threads"))]
    StartRuntime {
        /// The error from the operating system.
        source: io::Error,
    },
}
