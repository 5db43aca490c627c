use std::io;

use ragwortroad_load::prelude::*;
use ragwortroad_node::prelude::*;
use ragwortroad_standin::prelude::*;
use ragwortroad_transport::prelude::*;
use snafu::Snafu;

/// An error of a small fleet.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DemoError {
    /// The temporary folder or a file in it could not be created or deleted.
    #[snafu(display("cannot write below the temporary folder: {source}; free some space"))]
    Folder {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The nodes' keys could not be generated or written.
    #[snafu(display("cannot generate keys: {source}"))]
    Keys {
        /// The error of the transport, with a remedy.
        source: TransportError,
    },
    /// A node failed to start.
    #[snafu(display("node {name} failed to start: {source}"))]
    Node {
        /// Name of the node.
        name: String,
        /// The error of the node, with a remedy.
        source: NodeError,
    },
    /// A stand-in failed to start.
    #[snafu(display("a stand-in failed to start: {source}"))]
    Standin {
        /// The error of the stand-in, with a remedy.
        source: StandinError,
    },
    /// The load run failed.
    #[snafu(display("the load run failed: {source}"))]
    Load {
        /// The error of the load run, with a remedy.
        source: LoadError,
    },
    /// No node responded to an operator's line.
    #[snafu(display("no node responded to '{line}': {reason}; check the nodes' logs"))]
    Line {
        /// The operator's line.
        line: String,
        /// The last node's error.
        reason: String,
    },
    /// A condition of [`wait_until`](crate::wait_until) was not met in time.
    #[snafu(display("timed out after {seconds} s waiting for {what}; check the nodes' logs"))]
    Timeout {
        /// The condition.
        what: String,
        /// The timeout in seconds.
        seconds: u64,
    },
}
