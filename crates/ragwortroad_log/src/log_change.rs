use crate::{
    MemberStart,
    StoredEntry,
    StoredSnapshot,
    VoteRecord, //
};

/// One change of what a member must not forget.
///
/// The parts apply in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogChange {
    /// The new vote.
    pub vote: Option<VoteRecord>,
    /// Starts of other members that this one has told them it knows of.
    pub starts: Vec<MemberStart>,
    /// Drop all entries from this index on.
    pub truncate_from: Option<u64>,
    /// Entries that follow the last one kept.
    pub entries: Vec<StoredEntry>,
    /// A snapshot that replaces all entries up to its index.
    ///
    /// Entries after it are kept if the log has the snapshot's own entry with the same term;
    /// otherwise they belong to another history and are dropped.
    pub snapshot: Option<StoredSnapshot>,
    /// The member has made sure, in this boot of the machine, that the folder is not older than
    /// what it acknowledged.
    pub confirms_boot: bool,
}

impl LogChange {
    /// Whether nothing changes.
    pub fn is_empty(&self) -> bool {
        self.vote.is_none()
            && self.truncate_from.is_none()
            && self.entries.is_empty()
            && self.snapshot.is_none()
            && self.starts.is_empty()
            && !self.confirms_boot
    }
}
