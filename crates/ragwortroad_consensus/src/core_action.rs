use ragwortroad_log::LogChange;

use crate::{
    ChangeRefusal,
    MemberId,
    MemberSet,
    PeerFrame, //
};

/// Something a member wants done, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CoreAction {
    /// Make a change durable, in order of batches, and then hand in `Persisted`.
    Persist {
        /// Number of the change, counting up by one.
        batch: u64,
        /// The change.
        change: LogChange,
    },
    /// Send a frame to its receiver; it may get lost.
    Send(PeerFrame),
    /// Apply a committed command to the state.
    Apply {
        /// Its index.
        index: u64,
        /// Its term.
        term: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// Replace the state by this one.
    RestoreSnapshot {
        /// The last index it stands for.
        index: u64,
        /// The state.
        bytes: Vec<u8>,
    },
    /// Hand in the state with `SnapshotTaken`; always the last action of an input.
    ///
    /// The state may be copied now and encoded elsewhere, as long as it is the one after `index`.
    TakeSnapshot {
        /// The last index applied.
        index: u64,
    },
    /// What became of a command or a membership change.
    ProposeDone {
        /// The proposal's token.
        token: u64,
        /// What became of it.
        result: ProposeResult,
    },
    /// The state, as now applied, is current enough to answer a read.
    ReadReady {
        /// The read's token.
        token: u64,
        /// The index it is current to.
        index: u64,
    },
    /// The read cannot be answered here.
    ReadRefused {
        /// The read's token.
        token: u64,
        /// Whom to ask, if known.
        leader: Option<MemberId>,
    },
    /// Another leader, or another term, is known.
    LeaderChanged {
        /// The term.
        term: u64,
        /// Its leader, if known.
        leader: Option<MemberId>,
    },
    /// The group's members changed, durably on a quorum.
    MembersChanged {
        /// Index of the change.
        index: u64,
        /// The members.
        members: MemberSet,
    },
}

/// What became of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeResult {
    /// It is durable on a quorum, and applied here.
    Committed {
        /// Its index.
        index: u64,
        /// Its term.
        term: u64,
    },
    /// Not added to the log: this member is not the leader.
    NotLeader {
        /// Whom to ask, if known.
        leader: Option<MemberId>,
    },
    /// Added, but this member lost the leadership first; it may or may not be committed.
    Unknown,
    /// Not added: too many wait already, or the leadership is being handed over.
    Busy,
    /// Not added: larger than the settings allow.
    TooLarge,
    /// Not added: the membership change is not possible.
    Refused(ChangeRefusal),
}
