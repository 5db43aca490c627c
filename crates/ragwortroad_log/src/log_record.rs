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

/// The content of one record.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum LogRecord {
    /// First record of a log file.
    Header(LogHeader),
    /// The member's term and vote.
    Vote(CountedVote),
    /// A start number of another member, or of this one.
    Start(MemberStart),
    /// Removes all entries from this index on.
    Truncate(u64),
    /// Appends an entry.
    Entry(StoredEntry),
    /// Marks all earlier records as durable.
    ///
    /// It ends a file that was written as a whole, so that damage to its earlier records is not
    /// mistaken for an incomplete write.
    Durable,
    /// The identity of the folder and its snapshot; the only record of a snapshot file.
    Snapshot(u64, StoredSnapshot),
}

/// The header of a log file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct LogHeader {
    /// Version of the file format.
    pub(crate) version: u32,
    /// The folder's identity.
    pub(crate) identity: u64,
    /// Incremented with every snapshot; part of the file name.
    pub(crate) generation: u64,
    /// The vote at the time the file was created.
    pub(crate) vote: CountedVote,
    /// The start numbers of other members known when the file was created.
    pub(crate) starts: Vec<MemberStart>,
    /// Index of the snapshot that the file continues, or 0 if there is none.
    pub(crate) snapshot_index: u64,
}

/// A vote, numbered by the writes of the vote file.
///
/// `count` is one more than the number of earlier writes. The vote is written to the log and then
/// to a file of its own. If only the log is rolled back, the count in the vote file is ahead; if
/// only the vote file is rolled back, it is more than one behind. Either would let the member vote
/// twice in one term, so the folder is not opened in either case.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct CountedVote {
    pub(crate) count: u64,
    pub(crate) vote: VoteRecord,
}
