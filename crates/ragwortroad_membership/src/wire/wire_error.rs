use snafu::Snafu;

/// Reason why a packet could not be decoded.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum WireError {
    /// The bytes do not match this version of the protocol.
    #[snafu(display("packet is malformed: {source}; all nodes must run the same version"))]
    Malformed {
        /// The error of the decoder.
        source: postcard::Error,
    },
    /// A number does not stand for any state.
    #[snafu(display(
        "packet contains unknown state number {number}; all nodes must run the same version"
    ))]
    UnknownState {
        /// The number found.
        number: u8,
    },
}
