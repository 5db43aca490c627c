use snafu::Snafu;

/// Why a packet could not be read.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum WireError {
    /// The bytes are not what this version writes.
    #[snafu(display("the packet is malformed: {source}; run the same version on all nodes"))]
    Malformed {
        /// The codec's reason.
        source: postcard::Error,
    },
    /// A number stands for no state.
    #[snafu(display("the packet holds the unknown state {number}; run the same version"))]
    UnknownState {
        /// The number.
        number: u8,
    },
}
