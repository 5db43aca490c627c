use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    MemberStart,
    StoredEntry,
    StoredSnapshot,
    VoteRecord, //
};

/// What one record of a file says.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum LogRecord {
    /// First record of a log file.
    Header(LogHeader),
    /// The member's vote.
    Vote(CountedVote),
    /// A start of another member.
    Start(MemberStart),
    /// Entries from this index on are dropped.
    Truncate(u64),
    /// One more entry.
    Entry(StoredEntry),
    /// Everything before is durable.
    ///
    /// It ends a file that was written as a whole, so that damage to the records before it is not
    /// taken for an unfinished write.
    Durable,
    /// The one record of a snapshot file.
    Snapshot(u64, StoredSnapshot),
}

/// What a log file starts with.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct LogHeader {
    /// Layout of the files.
    pub(crate) version: u32,
    /// The folder's identity.
    pub(crate) identity: u64,
    /// Counts up with every snapshot; part of the file's name.
    pub(crate) generation: u64,
    /// The vote when the file was created.
    pub(crate) vote: CountedVote,
    /// The starts of others known when the file was created.
    pub(crate) starts: Vec<MemberStart>,
    /// Index of the snapshot the file continues from, 0 for none.
    pub(crate) snapshot_index: u64,
}

/// A vote with the number of times the vote file had been written before it, plus one.
///
/// The vote is in the log and, right after, in a file of its own. If the log alone goes back to an
/// older copy, the vote file's count is ahead of the log's; if the vote file goes back, it is more
/// than one behind. Either would let the member vote twice in a term, so neither folder opens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct CountedVote {
    pub(crate) count: u64,
    pub(crate) vote: VoteRecord,
}
