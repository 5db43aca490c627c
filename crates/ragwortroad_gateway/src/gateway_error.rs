use std::{
    io,
    net::SocketAddr, //
};

use snafu::Snafu;

/// Why a gateway could not start.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum GatewayError {
    /// The address is taken or not this VM's.
    #[snafu(display(
        "cannot listen on {address}: {source}; free the port or name another one in the settings"
    ))]
    Listen {
        /// The address asked for.
        address: SocketAddr,
        /// The system's reason.
        source: io::Error,
    },
    /// Threads could not be started.
    #[snafu(display("cannot start traffic threads: {source}; raise the limit of threads"))]
    StartRuntime {
        /// The system's reason.
        source: io::Error,
    },
}
