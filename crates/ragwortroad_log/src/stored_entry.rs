use serde::{
    Deserialize,
    Serialize, //
};

/// One entry of the replicated log as it lies on the disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredEntry {
    /// Position in the log; the first entry has 1.
    pub index: u64,
    /// The term of the leader that created the entry.
    pub term: u64,
    /// The content, opaque to this crate.
    pub bytes: Vec<u8>,
}
