use serde::{
    Deserialize,
    Serialize, //
};

use crate::MemberSet;

/// What a log entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// First entry of a leader's term, so that earlier terms' entries can be committed.
    Noop,
    /// A command for the replicated state.
    Command(Vec<u8>),
    /// The members from this entry on.
    Members(MemberSet),
}
