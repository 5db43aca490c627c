use ragwortroad_types::ClockTime;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    LogPosition,
    MemberId,
    MemberSet, //
};

/// A message from one member to another.
///
/// `sent_at` is a reading of the leader's own clock that members echo unchanged, so that the leader
/// learns when an acknowledged message was sent without keeping a table of rounds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// Leader to follower: renews leadership without entries.
    Heartbeat {
        /// The leader's term.
        term: u64,
        /// Commit index, at most the index up to which the receiver is known to match.
        commit: u64,
        /// Time of sending on the leader's clock.
        sent_at: ClockTime,
    },
    /// Reply to a heartbeat.
    HeartbeatReply {
        /// The sender's term.
        term: u64,
        /// The heartbeat's `sent_at`.
        sent_at: ClockTime,
    },
    /// Leader to follower: entries that follow `prev`.
    Append {
        /// The leader's term.
        term: u64,
        /// Position of the entry before the first one in the message.
        prev: LogPosition,
        /// The leader's commit index.
        commit: u64,
        /// Time of sending on the leader's clock.
        sent_at: ClockTime,
        /// The entries, in log order.
        entries: Vec<WireEntry>,
    },
    /// Reply to entries or to a complete snapshot, sent once they are durable.
    AppendReply {
        /// The sender's term.
        term: u64,
        /// The `sent_at` of the message that is acknowledged.
        sent_at: ClockTime,
        /// Whether the entries followed the sender's log.
        outcome: AppendOutcome,
        /// The latest start numbers that the sender knows.
        starts: Vec<MemberStart>,
    },
    /// Asks whether the receiver would vote for the sender in `term`; the reply is not binding.
    PreVote {
        /// The term that the sender would start.
        term: u64,
        /// Position of the last entry in the sender's log.
        last: LogPosition,
    },
    /// Reply to a pre-vote.
    PreVoteReply {
        /// The term of the pre-vote.
        asked: u64,
        /// The sender's own term.
        term: u64,
        /// Whether the sender would grant its vote.
        granted: bool,
    },
    /// Requests a vote in `term`.
    Vote {
        /// The candidate's term.
        term: u64,
        /// Position of the last entry in the candidate's log.
        last: LogPosition,
        /// Whether the leader itself requested this election after it stopped acting.
        handover: bool,
    },
    /// Reply to a vote request, sent once the vote is durable.
    VoteReply {
        /// The sender's term.
        term: u64,
        /// Whether the vote is granted.
        granted: bool,
        /// The latest start numbers that the sender knows.
        starts: Vec<MemberStart>,
    },
    /// Leader to follower: a chunk of a snapshot.
    Chunk(SnapshotChunk),
    /// Reply to a chunk.
    ChunkReply {
        /// The sender's term.
        term: u64,
        /// The chunk's `sent_at`.
        sent_at: ClockTime,
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// Bytes received so far, counted from the start of the snapshot without a gap.
        received: u64,
    },
    /// Leader to voter: the leader has stopped acting in `term`, and the receiver should start an
    /// election now.
    Handover {
        /// The leader's term.
        term: u64,
    },
    /// Query of a restarted member for the term, log and start numbers of the receiver.
    Hello,
    /// Reply to a query of a restarted member.
    HelloReply {
        /// Start number of the member that asked.
        asked: u64,
        /// The sender's term.
        term: u64,
        /// Position of the last entry in the sender's log.
        last: LogPosition,
        /// The member set in force at the sender.
        members: MemberSet,
        /// The latest start numbers that the sender knows.
        starts: Vec<MemberStart>,
    },
    /// Reply to a message of an earlier start, which was ignored.
    StaleStart {
        /// The latest start number of the receiver that the sender knows.
        known: u64,
    },
}

impl PeerMessage {
    /// The sender's term, or `None` for messages that do not carry it.
    pub fn term(&self) -> Option<u64> {
        match *self {
            Self::Heartbeat { term, .. }
            | Self::HeartbeatReply { term, .. }
            | Self::Append { term, .. }
            | Self::AppendReply { term, .. }
            | Self::PreVoteReply { term, .. }
            | Self::Vote { term, .. }
            | Self::VoteReply { term, .. }
            | Self::ChunkReply { term, .. }
            | Self::Handover { term } => Some(term),
            Self::Chunk(ref chunk) => Some(chunk.term),
            Self::PreVote { .. }
            | Self::Hello
            | Self::HelloReply { .. }
            | Self::StaleStart { .. } => None,
        }
    }
}

/// A log entry in a message; its index follows from its place in the message.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WireEntry {
    /// Term of the leader that created the entry.
    pub term: u64,
    /// The encoded payload.
    pub bytes: Vec<u8>,
}

/// Whether a member could append the entries of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The member's log is durable and equals the leader's up to this index.
    Matched(u64),
    /// The member's log does not contain the entry before the first one of the message.
    Conflict {
        /// Index of that entry.
        prev: u64,
        /// The last index at which the logs may match.
        hint: u64,
    },
}

/// The latest start number of a member that the sender knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberStart {
    /// The member that started.
    pub member: MemberId,
    /// Its start number; a later start has a greater one.
    pub start: u64,
}

/// A chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The leader's term.
    pub term: u64,
    /// Time of sending on the leader's clock.
    pub sent_at: ClockTime,
    /// Position of the last entry that the snapshot covers.
    pub last: LogPosition,
    /// The member set in force at that entry.
    pub members: MemberSet,
    /// Size of the whole snapshot in bytes.
    pub total: u64,
    /// Offset of the chunk in the snapshot, in bytes.
    pub offset: u64,
    /// The bytes of the chunk.
    pub bytes: Vec<u8>,
}
