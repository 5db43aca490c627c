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
    #[snafu(display("cannot connect: {source}; check that the process there runs"))]
    Dial {
        /// Error reported by the operating system.
        source: io::Error,
    },
    /// The connection attempt timed out.
    #[snafu(display("no connection within {limit:?}; check the network between the two VMs"))]
    DialTimeout {
        /// The timeout that expired.
        limit: Duration,
    },
    /// Reading from or writing to the connection failed.
    #[snafu(display("the connection broke: {source}; it is dialled again"))]
    Io {
        /// Error reported by the operating system.
        source: io::Error,
    },
    /// The peer closed the connection.
    #[snafu(display("the other side closed the connection; it is dialled again"))]
    ClosedByPeer,
    /// No data arrived within the idle timeout.
    #[snafu(display("nothing was heard for {limit:?}; the connection is dialled again"))]
    IdleTimeout {
        /// The timeout that expired.
        limit: Duration,
    },
    /// A message could not be encoded or decoded.
    #[snafu(display("a message means nothing ({source}); run one version on all VMs"))]
    InvalidMessage {
        /// Error reported by the codec.
        source: postcard::Error,
    },
    /// This side closed the connection or dropped its queue.
    #[snafu(display("this end was given up"))]
    ClosedLocally,
}
