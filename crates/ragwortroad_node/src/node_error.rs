use std::{
    io,
    path::PathBuf, //
};

use ragwortroad_gateway::prelude::*;
use ragwortroad_log::prelude::*;
use ragwortroad_transport::prelude::*;
use snafu::Snafu;

/// Why a node could not start.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NodeError {
    /// The system gave no thread.
    #[snafu(display("cannot start the {name} thread: {source}; free memory or raise the limit"))]
    Thread {
        /// What the thread is for.
        name: &'static str,
        /// The system's reason.
        source: io::Error,
    },
    /// A file with a secret could not be read.
    #[snafu(display(
        "cannot read {}: {source}; write the secret into its first line",
        path.display()
    ))]
    Secret {
        /// The file.
        path: PathBuf,
        /// The system's reason.
        source: io::Error,
    },
    /// The data folder could not be opened.
    #[snafu(display("the data folder cannot be used: {source}"))]
    Folder {
        /// The log's reason, with its remedy.
        source: LogError,
    },
    /// The peer port or the keys could not be used.
    #[snafu(display("the peer port cannot be used: {source}"))]
    Peers {
        /// The transport's reason, with its remedy.
        source: TransportError,
    },
    /// The HTTP port could not be used.
    #[snafu(display("the HTTP port cannot be used: {source}"))]
    Http {
        /// The gateway's reason, with its remedy.
        source: GatewayError,
    },
    /// The stored snapshot is not one this version reads.
    #[snafu(display(
        "the stored state cannot be read ({reason}); run the version that wrote it, or replace \
         this member by one with an empty data folder"
    ))]
    Stored {
        /// What is wrong with it.
        reason: String,
    },
}
