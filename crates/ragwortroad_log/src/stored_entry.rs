use serde::{
    Deserialize,
    Serialize, //
};

/// An entry of the replicated log, as stored on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredEntry {
    /// Position in the log; the first entry has index 1.
    pub index: u64,
    /// Term of the leader that created the entry.
    pub term: u64,
    /// The content, opaque to this crate.
    pub bytes: Vec<u8>,
}
