use serde::{
    Deserialize,
    Serialize, //
};

use snafu::ResultExt;

use crate::{
    CoreError,
    MemberSet,
    core_error::UndecodableSnafu, //
};

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EntryPayload {
    /// The first entry of a leader's term; committing it commits the entries of earlier terms.
    Noop,
    /// A command for the replicated state.
    Command(Vec<u8>),
    /// The member set in force from this entry on.
    Members(MemberSet),
}

impl EntryPayload {
    /// Decodes the bytes of a log entry.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not an encoded payload.
    pub fn decode(bytes: &[u8]) -> Result<Self, CoreError> {
        let what = "a log entry";
        postcard::from_bytes(bytes).context(UndecodableSnafu { what })
    }

    /// Encodes the payload; encoding plain types into memory does not fail.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}
