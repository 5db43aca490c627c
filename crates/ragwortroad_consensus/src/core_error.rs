use snafu::Snafu;

/// Why a member cannot start from what its data folder holds.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CoreError {
    /// Something stored cannot be decoded.
    #[snafu(display(
        "cannot decode {what} from the data folder: {source}; run the version that wrote it, or \
         move the data folder away and restart as a new identity"
    ))]
    Undecodable {
        /// What it is.
        what: &'static str,
        /// What the codec said.
        source: postcard::Error,
    },
    /// A group cannot be founded on a folder that is in use.
    #[snafu(display("the data folder belongs to a group already; do not found another on it"))]
    AlreadyBootstrapped,
    /// The founders do not include this member.
    #[snafu(display("the founders do not include this member; list its own identity too"))]
    NotInitialMember,
}
