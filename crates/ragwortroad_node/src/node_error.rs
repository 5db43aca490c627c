use std::{
    io,
    path::PathBuf, //
};

use ragwortroad_gateway::prelude::*;
use ragwortroad_log::prelude::*;
use ragwortroad_transport::prelude::*;
use snafu::Snafu;

/// An error that keeps a node from starting.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NodeError {
    /// The operating system could not start a thread.
    #[snafu(display("cannot start the {name} thread: {source}; free memory or raise the limit"))]
    Thread {
        /// The thread's purpose.
        name: &'static str,
        /// The operating system's error.
        source: io::Error,
    },
    /// A file with a secret could not be read.
    #[snafu(display(
        "cannot read {}: {source}; write the secret into its first line",
        path.display()
    ))]
    Secret {
        /// The file's path.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The data folder could not be opened.
    #[snafu(display("the data folder cannot be used: {source}"))]
    Folder {
        /// The log's error, with its remedy.
        source: LogError,
    },
    /// The peer port or the keys could not be used.
    #[snafu(display("the peer port cannot be used: {source}"))]
    Peers {
        /// The transport's error, with its remedy.
        source: TransportError,
    },
    /// The HTTP port could not be used.
    #[snafu(display("the HTTP port cannot be used: {source}"))]
    Http {
        /// The gateway's error, with its remedy.
        source: GatewayError,
    },
    /// The stored snapshot has a format that this version can't read.
    #[snafu(display(
        "the stored state cannot be read ({reason}); run the version that wrote it, or replace \
         this member by one with an empty data folder"
    ))]
    Stored {
        /// Why it can't be read.
        reason: String,
    },
}
