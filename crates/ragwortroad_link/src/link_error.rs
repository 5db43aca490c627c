use std::{
    io,
    time::Duration, //
};

use snafu::Snafu;

/// Reason why a connection to another process of the fleet ended or was not established.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LinkError {
    /// The connection attempt failed.
    #[snafu(display("cannot connect: {source}; check that the peer process is running"))]
    Dial {
        /// Error reported by the operating system.
        source: io::Error,
    },
    /// The connection attempt timed out.
    #[snafu(display(
        "connection timed out after {limit:?}; check the network between the two VMs"
    ))]
    DialTimeout {
        /// The timeout that expired.
        limit: Duration,
    },
    /// Reading from or writing to the connection failed.
    #[snafu(display("connection failed: {source}; reconnecting"))]
    Io {
        /// Error reported by the operating system.
        source: io::Error,
    },
    /// The peer closed the connection.
    #[snafu(display("connection closed by peer; reconnecting"))]
    ClosedByPeer,
    /// No data arrived within the idle timeout.
    #[snafu(display("no data received for {limit:?}; reconnecting"))]
    IdleTimeout {
        /// The timeout that expired.
        limit: Duration,
    },
    /// A message could not be encoded or decoded.
    #[snafu(display("invalid message ({source}); run the same version on all VMs"))]
    InvalidMessage {
        /// Error reported by the codec.
        source: postcard::Error,
    },
    /// This side closed the connection or dropped its queue.
    #[snafu(display("connection closed locally"))]
    ClosedLocally,
}
