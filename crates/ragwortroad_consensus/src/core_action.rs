use ragwortroad_log::LogChange;

use crate::{
    ChangeRefusal,
    MemberId,
    MemberSet,
    PeerFrame, //
};

/// An action that the driver has to perform; actions are performed in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CoreAction {
    /// Make a change durable, in order of batches, then pass
    /// [`CoreInput::Persisted`](crate::CoreInput).
    Persist {
        /// Number of the batch, increasing by one.
        batch: u64,
        /// The change to write.
        change: LogChange,
    },
    /// Send a frame to its receiver. It may be lost.
    Send(PeerFrame),
    /// Apply a committed command to the replicated state.
    Apply {
        /// Log index of the command.
        index: u64,
        /// Term of the command's entry.
        term: u64,
        /// The command as it was proposed.
        command: Vec<u8>,
    },
    /// Replace the replicated state by a snapshot.
    RestoreSnapshot {
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// The encoded state.
        bytes: Vec<u8>,
    },
    /// Take a snapshot and pass it as `SnapshotTaken`; always the last action of an input.
    ///
    /// The state may be copied now and encoded elsewhere, as long as it is the one after `index`.
    TakeSnapshot {
        /// Index of the last applied entry.
        index: u64,
    },
    /// A proposed command or membership change has finished.
    ProposeDone {
        /// The token passed with the proposal.
        token: u64,
        /// How it finished.
        result: ProposeResult,
    },
    /// The replicated state, as applied now, is current enough to answer a read.
    ReadReady {
        /// The token passed with the read request.
        token: u64,
        /// The commit index up to which the state is current.
        index: u64,
    },
    /// The read cannot be answered here.
    ReadRefused {
        /// The token passed with the read request.
        token: u64,
        /// The member to ask instead, if known.
        leader: Option<MemberId>,
    },
    /// The known leader or the term has changed.
    LeaderChanged {
        /// The current term.
        term: u64,
        /// The leader of that term, if known.
        leader: Option<MemberId>,
    },
    /// A membership change has been committed.
    MembersChanged {
        /// Log index of the change.
        index: u64,
        /// The member set from that index on.
        members: MemberSet,
    },
}

/// The result of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeResult {
    /// The entry is durable on a quorum and applied here.
    Committed {
        /// Log index of the entry.
        index: u64,
        /// Term of the entry.
        term: u64,
    },
    /// Not appended: this member is not the leader.
    NotLeader {
        /// The member to ask instead, if known.
        leader: Option<MemberId>,
    },
    /// Appended, but this member lost leadership before the entry was committed; it may still be
    /// committed later.
    Unknown,
    /// Not appended: too many proposals are pending, or leadership is being transferred.
    Busy,
    /// Not appended: the command exceeds `max_command_bytes`.
    TooLarge,
    /// Not appended: the membership change is not allowed now.
    Refused(ChangeRefusal),
}
