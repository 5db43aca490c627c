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

/// What one member says to another.
///
/// `sent_at` is a reading of the leader's own clock, which a member returns as it got it: the
/// leader learns when a confirmed message left without keeping a table of rounds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// Leader: I am still in charge.
    Heartbeat {
        /// The leader's term.
        term: u64,
        /// Commit index, not beyond what the receiver is known to have.
        commit: u64,
        /// When it was sent.
        sent_at: ClockTime,
    },
    /// Answer to a heartbeat.
    HeartbeatReply {
        /// The sender's term.
        term: u64,
        /// The heartbeat's time.
        sent_at: ClockTime,
    },
    /// Leader: entries that follow `prev`.
    Append {
        /// The leader's term.
        term: u64,
        /// The entry before the first.
        prev: LogPosition,
        /// The leader's commit index.
        commit: u64,
        /// When it was sent.
        sent_at: ClockTime,
        /// The entries.
        entries: Vec<WireEntry>,
    },
    /// Answer to entries or to a whole snapshot, sent once they are durable.
    AppendReply {
        /// The sender's term.
        term: u64,
        /// The leader's time.
        sent_at: ClockTime,
        /// Whether they fitted.
        outcome: AppendOutcome,
        /// The latest starts the sender knows of.
        starts: Vec<MemberStart>,
    },
    /// Would you vote for me in `term`? Binds nobody.
    PreVote {
        /// The term the sender would start.
        term: u64,
        /// Last entry of the sender's log.
        last: LogPosition,
    },
    /// Answer to a pre-vote.
    PreVoteReply {
        /// The term that was asked for.
        asked: u64,
        /// The sender's own term.
        term: u64,
        /// Whether it would.
        granted: bool,
    },
    /// Vote for me in `term`.
    Vote {
        /// The sender's term.
        term: u64,
        /// Last entry of the sender's log.
        last: LogPosition,
        /// The leader itself asked for this election and has stopped acting.
        handover: bool,
    },
    /// Answer to a vote request, sent once the vote is durable.
    VoteReply {
        /// The sender's term.
        term: u64,
        /// Whether the vote is given.
        granted: bool,
        /// The latest starts the sender knows of.
        starts: Vec<MemberStart>,
    },
    /// Leader: a piece of a snapshot.
    Chunk(SnapshotChunk),
    /// Answer to a piece: how many bytes from the start have come.
    ChunkReply {
        /// The sender's term.
        term: u64,
        /// The leader's time.
        sent_at: ClockTime,
        /// The snapshot's index.
        index: u64,
        /// Bytes from the start that are there.
        received: u64,
    },
    /// Leader: I have stopped acting in `term`; start an election now.
    Handover {
        /// The leader's term.
        term: u64,
    },
    /// I have restarted; what do you know?
    Hello,
    /// Answer to a hello.
    HelloReply {
        /// The start that asked.
        asked: u64,
        /// The sender's term.
        term: u64,
        /// Last entry of the sender's log.
        last: LogPosition,
        /// The members in force there.
        members: MemberSet,
        /// The latest starts the sender knows of.
        starts: Vec<MemberStart>,
    },
}

impl PeerMessage {
    /// The term the sender was in, where the message tells it.
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
            Self::PreVote { .. } | Self::Hello | Self::HelloReply { .. } => None,
        }
    }
}

/// An entry on its way; its index follows from its place in the message.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WireEntry {
    /// The term of the leader that created it.
    pub term: u64,
    /// The encoded payload.
    pub bytes: Vec<u8>,
}

/// Whether entries fitted a member's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The member's log equals the leader's up to this index, durably.
    Matched(u64),
    /// The entry before the first was not there.
    Conflict {
        /// Index of that entry.
        prev: u64,
        /// The last index that may be equal.
        hint: u64,
    },
}

/// The latest start of a member that the sender knows of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberStart {
    /// The member.
    pub member: MemberId,
    /// Its start; a later start has a greater number.
    pub start: u64,
}

/// A piece of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The leader's term.
    pub term: u64,
    /// When it was sent.
    pub sent_at: ClockTime,
    /// The entry the snapshot ends with.
    pub last: LogPosition,
    /// The members at that entry.
    pub members: MemberSet,
    /// Size of the whole snapshot.
    pub total: u64,
    /// Where the piece belongs.
    pub offset: u64,
    /// The piece.
    pub bytes: Vec<u8>,
}
