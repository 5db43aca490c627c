use std::io;

use snafu::Snafu;

/// Why a load run could not be made.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LoadError {
    /// Threads could not be started.
    #[snafu(display("cannot start callers: {source}; ask for fewer of them"))]
    Threads {
        /// The system's reason.
        source: io::Error,
    },
    /// A caller's thread panicked, so the figures are not whole.
    #[snafu(display("a caller panicked; its figures are lost, so the run counts as failed"))]
    ClientPanicked,
    /// A histogram could not be made.
    #[snafu(display("cannot make a histogram: {source}; this is a fault in the program"))]
    Histogram {
        /// The library's reason.
        source: hdrhistogram::CreationError,
    },
}
