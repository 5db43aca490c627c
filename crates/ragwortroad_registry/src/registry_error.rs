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
    /// A setting that the process needs is missing.
    #[snafu(display("[registry] {key} is missing; this process cannot run without it"))]
    MissingSetting {
        /// The setting.
        key: &'static str,
    },
    /// An address is in use or not this VM's.
    #[snafu(display("cannot listen on {address}: {source}; stop what uses it or change it"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// No runtime or thread could be had.
    #[snafu(display("cannot start: {source}; look at the VM's memory and limits"))]
    Start {
        /// What the system said.
        source: io::Error,
    },
}
