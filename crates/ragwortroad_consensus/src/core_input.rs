use crate::{
    MemberChange,
    MemberId,
    PeerFrame, //
};

/// An event that the driver passes to a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CoreInput {
    /// Time has passed.
    Tick,
    /// A message has arrived.
    Frame(PeerFrame),
    /// Append a command to the log.
    Propose {
        /// Returned with the result.
        token: u64,
        /// The command, opaque to this crate.
        command: Vec<u8>,
    },
    /// Prove that the applied state is current enough for a linearizable read.
    ReadRequest {
        /// Returned with the result.
        token: u64,
    },
    /// All changes up to this batch are durable.
    Persisted {
        /// Number of the last durable batch.
        batch: u64,
    },
    /// A write failed; the data folder accepts no more writes.
    PersistFailed,
    /// The snapshot requested by [`CoreAction::TakeSnapshot`](crate::CoreAction).
    SnapshotTaken {
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// The encoded state.
        bytes: Vec<u8>,
    },
    /// Change the member set.
    ChangeMember {
        /// Returned with the result.
        token: u64,
        /// The requested change.
        change: MemberChange,
    },
    /// A new connection to a member is open; messages in flight on the previous one may be lost.
    PeerConnected {
        /// The member at the other end.
        member: MemberId,
    },
    /// Transfer leadership to another voter before this process stops.
    TransferLeadership,
    /// An operator declares that the data folder was not rolled back.
    TrustDisk,
}
