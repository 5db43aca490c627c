use serde::{
    Deserialize,
    Serialize, //
};

/// The state that replaces all entries up to an index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredSnapshot {
    /// Index of the last entry that the snapshot covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// The member set in force at that entry, opaque to this crate.
    pub members: Vec<u8>,
    /// The encoded state, opaque to this crate.
    pub bytes: Vec<u8>,
}
