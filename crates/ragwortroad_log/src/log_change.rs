use crate::{
    MemberStart,
    StoredEntry,
    StoredSnapshot,
    VoteRecord, //
};

/// A change of a member's durable state.
///
/// The parts are applied in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogChange {
    /// The new term and vote.
    pub vote: Option<VoteRecord>,
    /// A greater start number of this member.
    pub start: Option<u64>,
    /// Start numbers of other members that this member has reported to them.
    pub starts: Vec<MemberStart>,
    /// Index from which on all entries are removed.
    pub truncate_from: Option<u64>,
    /// Entries that follow the last remaining one.
    pub entries: Vec<StoredEntry>,
    /// A snapshot that replaces all entries up to its index.
    ///
    /// Later entries are kept if the log has an entry with the snapshot's index and term; otherwise
    /// they belong to a different history and are removed.
    pub snapshot: Option<StoredSnapshot>,
    /// Whether the member has verified, in this boot of the machine, that the folder is no older
    /// than what it acknowledged.
    pub confirms_boot: bool,
}

impl LogChange {
    /// Whether the change has no effect.
    pub fn is_empty(&self) -> bool {
        self.vote.is_none()
            && self.truncate_from.is_none()
            && self.entries.is_empty()
            && self.snapshot.is_none()
            && self.start.is_none()
            && self.starts.is_empty()
            && !self.confirms_boot
    }
}
