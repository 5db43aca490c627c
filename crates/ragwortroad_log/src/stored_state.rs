use crate::{
    MemberStart,
    StoredEntry,
    StoredSnapshot,
    VoteRecord, //
};

/// The content of a data folder at the time it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredState {
    /// The identity, assigned when the folder was first used.
    pub identity: u64,
    /// Whether this call created the content of the folder.
    pub is_new: bool,
    /// Whether the folder was confirmed during the current boot.
    ///
    /// If so, only the process has restarted, and the disk cannot have gone back to an older state
    /// as a whole, as when a VM is restored.
    pub is_same_boot: bool,
    /// The start number of this opening of the folder, which is durable, and greater than at every
    /// earlier one.
    pub start: u64,
    /// The last durable term and vote.
    pub vote: VoteRecord,
    /// The latest start number of each member that has queried this one after a restart.
    pub starts: Vec<MemberStart>,
    /// The last durable snapshot.
    pub snapshot: Option<StoredSnapshot>,
    /// The entries after the snapshot.
    ///
    /// Invariant: indexes are contiguous and begin right after the snapshot's.
    pub entries: Vec<StoredEntry>,
    /// Size of an incomplete write that was cut off the end of the log.
    pub truncated_bytes: u64,
}
