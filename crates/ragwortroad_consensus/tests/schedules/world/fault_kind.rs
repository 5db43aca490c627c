/// A fault that the simulation injects at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultKind {
    /// The machine crashes and restarts.
    Crash,
    /// The machine crashes during a write.
    CrashInWrite,
    /// Several machines crash at once.
    PowerCut,
    /// The process is killed and restarts; the machine keeps running.
    Kill,
    /// The next sync fails.
    FailedSync,
    /// The disk becomes full.
    FullDisk,
    /// The process is paused for a while.
    Pause,
    /// Messages are dropped in one direction or both.
    Partition,
    /// The disk is replaced by an empty one.
    LostDisk,
    /// The leader is asked to transfer leadership.
    TransferLeadership,
    /// A healthy member is removed from a group that can spare it, and is added again later.
    RemoveMember,
}

impl FaultKind {
    pub(crate) const ALL: [Self; 11] = [
        Self::Crash,
        Self::CrashInWrite,
        Self::PowerCut,
        Self::Kill,
        Self::FailedSync,
        Self::FullDisk,
        Self::Pause,
        Self::Partition,
        Self::LostDisk,
        Self::TransferLeadership,
        Self::RemoveMember,
    ];
}
