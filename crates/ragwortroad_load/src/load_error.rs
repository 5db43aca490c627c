use std::io;

use snafu::Snafu;

/// An error that prevents a load run or invalidates it.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LoadError {
    /// The client threads could not be started.
    #[snafu(display("cannot start client threads: {source}; reduce their number"))]
    Threads {
        /// The error of the operating system.
        source: io::Error,
    },
    /// A client thread panicked, so the results are incomplete.
    #[snafu(display(
        "a client thread panicked; its results are lost, so the run counts as failed"
    ))]
    ClientPanicked,
    /// A latency histogram could not be created.
    #[snafu(display("cannot create a latency histogram: {source}; this is a bug in the program"))]
    Histogram {
        /// The error of the histogram library.
        source: hdrhistogram::CreationError,
    },
}
