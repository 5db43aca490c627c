use std::{
    io,
    time::Duration, //
};

use snafu::Snafu;

/// Why a connection to another process of the fleet ended.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LinkError {
    /// It could not be established.
    #[snafu(display("cannot connect: {source}; check that the process there runs"))]
    Dial {
        /// What the system said.
        source: io::Error,
    },
    /// It could not be established in time.
    #[snafu(display("no connection within {limit:?}; check the network between the two VMs"))]
    DialTimeout {
        /// The time allowed.
        limit: Duration,
    },
    /// Reading or writing failed.
    #[snafu(display("the connection broke: {source}; it is dialled again"))]
    Io {
        /// What the system said.
        source: io::Error,
    },
    /// The other side closed it.
    #[snafu(display("the other side closed the connection; it is dialled again"))]
    ClosedByPeer,
    /// Nothing was heard for too long.
    #[snafu(display("nothing was heard for {limit:?}; the connection is dialled again"))]
    IdleTimeout {
        /// The time allowed.
        limit: Duration,
    },
    /// A message could not be encoded or decoded.
    #[snafu(display("a message means nothing ({source}); run one version on all VMs"))]
    InvalidMessage {
        /// What the codec said.
        source: postcard::Error,
    },
    /// The owner of this end dropped it.
    #[snafu(display("this end was given up"))]
    ClosedLocally,
}
