use crate::{
    MemberStart,
    StoredEntry,
    StoredSnapshot,
    VoteRecord, //
};

/// What a data folder held when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredState {
    /// The folder's identity, drawn when the folder was first used.
    pub identity: u64,
    /// Whether this opening created the folder's content.
    pub is_new: bool,
    /// Whether a change that confirms the boot was written during this same boot.
    ///
    /// Then only the process has restarted, and the disk cannot have been put back to an older
    /// state as a whole, as a restore of the VM does.
    pub is_same_boot: bool,
    /// The last durable vote.
    pub vote: VoteRecord,
    /// The latest start of each other member that has asked after its own.
    pub starts: Vec<MemberStart>,
    /// The last durable snapshot.
    pub snapshot: Option<StoredSnapshot>,
    /// The entries after the snapshot.
    ///
    /// Invariant: indexes are contiguous and start right after the snapshot's.
    pub entries: Vec<StoredEntry>,
    /// Bytes of an unfinished write that were cut from the log's end.
    pub truncated_bytes: u64,
}
