use snafu::Snafu;

/// The head of a response that does not tell where its body ends, or tells it in two ways.
///
/// The connection on which it came cannot be used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum FramingError {
    /// The status is not that of a final response.
    #[snafu(display("status {status} is not that of a final response; respond with 200 to 599"))]
    UnknownStatus {
        /// The status in the head.
        status: u16,
    },
    /// The body is encoded in a way that cannot be decoded.
    #[snafu(display("the transfer coding is unknown; send `chunked`, once, or none"))]
    UnknownCoding,
    /// The sender speaks HTTP/1.0, which has no transfer codings.
    #[snafu(display("a transfer coding in an HTTP/1.0 response; send a length"))]
    CodingInOldVersion,
    /// The body has a coding and a length, of which recipients may take either.
    #[snafu(display("both a transfer coding and a length; send one of them"))]
    CodingAndLength,
    /// The length is no number, or there are several.
    #[snafu(display("the length is invalid or ambiguous; send one number"))]
    InvalidLength,
    /// A body where the status allows none.
    #[snafu(display("status {status} allows no body; send another status or no body"))]
    ForbiddenBody {
        /// The status in the head.
        status: u16,
    },
    /// There is neither a coding nor a length, and the connection may stay open after the body.
    #[snafu(display("no length, no coding and no announced close; send one of them"))]
    NoFraming,
}
