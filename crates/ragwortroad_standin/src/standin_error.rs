use std::{
    io,
    net::SocketAddr, //
};

use snafu::Snafu;

/// Why a stand-in could not start.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StandinError {
    /// The address is taken or not this VM's.
    #[snafu(display("cannot listen on {address}: {source}; name a free port"))]
    Listen {
        /// The address asked for.
        address: SocketAddr,
        /// The system's reason.
        source: io::Error,
    },
    /// Threads could not be started.
    #[snafu(display("cannot start threads: {source}; raise the limit of threads"))]
    Threads {
        /// The system's reason.
        source: io::Error,
    },
}
