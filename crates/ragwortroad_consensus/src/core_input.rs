use crate::{
    MemberChange,
    MemberId,
    PeerFrame, //
};

/// Something that happens to a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CoreInput {
    /// Time has passed.
    Tick,
    /// A message came in.
    Frame(PeerFrame),
    /// Add a command to the log.
    Propose {
        /// Returned with the result.
        token: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// Prove that a read of the state after some index is current.
    ReadRequest {
        /// Returned with the result.
        token: u64,
    },
    /// All changes up to this batch are durable.
    Persisted {
        /// The batch.
        batch: u64,
    },
    /// A write failed; the data folder takes no more.
    PersistFailed,
    /// The state after `index`, wanted by [`CoreAction::TakeSnapshot`](crate::CoreAction).
    SnapshotTaken {
        /// The last index it stands for.
        index: u64,
        /// The state.
        bytes: Vec<u8>,
    },
    /// Change the members.
    ChangeMember {
        /// Returned with the result.
        token: u64,
        /// The step.
        change: MemberChange,
    },
    /// A new connection to a member: what was under way on the one before it may be lost.
    PeerConnected {
        /// The member.
        member: MemberId,
    },
    /// Hand over the leadership, before this process stops.
    TransferLeadership,
    /// An operator declares that the data folder was not rolled back.
    TrustDisk,
}
