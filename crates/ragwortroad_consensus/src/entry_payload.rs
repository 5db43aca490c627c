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

/// What a log entry holds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EntryPayload {
    /// First entry of a leader's term, so that earlier terms' entries can be committed.
    Noop,
    /// A command for the replicated state.
    Command(Vec<u8>),
    /// The members from this entry on.
    Members(MemberSet),
}

impl EntryPayload {
    /// The payload that the bytes of an entry stand for.
    pub fn decode(bytes: &[u8]) -> Result<Self, CoreError> {
        let what = "a log entry";
        postcard::from_bytes(bytes).context(UndecodableSnafu { what })
    }

    /// The bytes of an entry; encoding plain types into memory does not fail.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}
