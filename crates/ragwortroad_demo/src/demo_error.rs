use std::io;

use ragwortroad_load::prelude::*;
use ragwortroad_node::prelude::*;
use ragwortroad_standin::prelude::*;
use ragwortroad_transport::prelude::*;
use snafu::Snafu;

/// Why a small fleet could not be had or did not do what it was asked.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DemoError {
    /// The temporary folder or a file in it could not be made.
    #[snafu(display("cannot write below the temporary folder: {source}; free some space"))]
    Folder {
        /// The system's reason.
        source: io::Error,
    },
    /// The keys could not be made.
    #[snafu(display("cannot make keys: {source}"))]
    Keys {
        /// The transport's reason, with its remedy.
        source: TransportError,
    },
    /// A node did not start.
    #[snafu(display("node {name} did not start: {source}"))]
    Node {
        /// Its name.
        name: String,
        /// Why, with the remedy.
        source: NodeError,
    },
    /// A stand-in did not start.
    #[snafu(display("a stand-in did not start: {source}"))]
    Standin {
        /// Why, with the remedy.
        source: StandinError,
    },
    /// The load could not be sent.
    #[snafu(display("the load could not be sent: {source}"))]
    Load {
        /// Why, with the remedy.
        source: LoadError,
    },
    /// No node answered an operator's line.
    #[snafu(display("no node answered '{line}': {reason}; look at the nodes' logs"))]
    Line {
        /// The line.
        line: String,
        /// What went wrong.
        reason: String,
    },
    /// Something did not come about in time.
    #[snafu(display("{what} did not come about within {seconds} s; look at the nodes' logs"))]
    Timeout {
        /// What was waited for.
        what: String,
        /// How long.
        seconds: u64,
    },
}
