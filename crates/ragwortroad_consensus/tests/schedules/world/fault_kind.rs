/// What can go wrong at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultKind {
    /// The machine stops and restarts.
    Crash,
    /// The machine stops in the middle of a write.
    CrashInWrite,
    /// Several machines stop at once.
    PowerCut,
    /// The process ends and restarts.
    Kill,
    /// A sync fails.
    FailedSync,
    /// The disk is full.
    FullDisk,
    /// The process stands still for a while.
    Pause,
    /// Messages get through in one direction only, or not at all.
    Partition,
    /// The disk is replaced by an empty one.
    LostDisk,
    /// The leader is asked to hand over.
    TransferLeadership,
    /// A member that is well is taken out of a group that can spare it, and comes back later.
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
