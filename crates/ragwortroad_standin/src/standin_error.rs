use std::{
    io,
    net::SocketAddr, //
};

use snafu::Snafu;

/// An error that prevents a stand-in from starting.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StandinError {
    /// The address is in use or doesn't belong to this VM.
    #[snafu(display("cannot listen on {address}: {source}; choose a free port"))]
    Listen {
        /// The requested listen address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The threads could not be started.
    #[snafu(display("cannot start threads: {source}; raise the thread limit"))]
    Threads {
        /// The error of the operating system.
        source: io::Error,
    },
}
