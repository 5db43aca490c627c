use serde::{
    Deserialize,
    Serialize, //
};

/// The state that stands for all entries up to one index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredSnapshot {
    /// Index of the last entry the snapshot stands for.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// The group's members as of that entry, opaque to this crate.
    pub members: Vec<u8>,
    /// The state, opaque to this crate.
    pub bytes: Vec<u8>,
}
