use snafu::Snafu;

/// The reason why a member cannot start from the content of its data folder.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CoreError {
    /// A stored value cannot be decoded.
    #[snafu(display(
        "cannot decode {what} from the data folder: {source}; run the version that wrote it, or \
         move the data folder away and restart with a new identity"
    ))]
    Undecodable {
        /// The kind of value, for the error message.
        what: &'static str,
        /// The error of the decoder.
        source: postcard::Error,
    },
    /// A group cannot be bootstrapped on a folder that already belongs to one.
    #[snafu(display(
        "the data folder already belongs to a group; do not bootstrap another one on it"
    ))]
    AlreadyBootstrapped,
    /// The initial members do not include this member.
    #[snafu(display("the initial members do not include this member; add its own identity"))]
    NotInitialMember,
}
