/// What a registry knows of its group, for log lines and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GroupStatus {
    /// Whether the data folder is open and it is decided whether to found a group.
    pub(crate) has_core: bool,
    /// Identity of this registry's data folder.
    pub(crate) member: Option<u64>,
    pub(crate) term: u64,
    /// Identity of the leader, if one is known.
    pub(crate) leader: Option<u64>,
    /// Position in the log up to which the state is applied here.
    pub(crate) applied: u64,
    /// Position of the last entry in the log here.
    pub(crate) last: u64,
    /// Voters of the group, as known here; 0 if this registry has not joined one.
    pub(crate) voters: usize,
    /// Voters that were heard from recently, including this registry if it votes.
    pub(crate) heard_voters: usize,
    /// Voters that are needed to bear the losses that the settings tolerate.
    pub(crate) needed_voters: usize,
}

impl GroupStatus {
    /// Voters without which there is no leader; 0 if none are known.
    pub(crate) fn quorum(&self) -> usize {
        match self.voters {
            0 => 0,
            voters => voters / 2 + 1,
        }
    }

    /// What keeps the group from answering for certain; `None` if nothing does.
    pub(crate) fn obstacle(&self) -> Option<&'static str> {
        if !self.has_core {
            Some("the data folder is not open, or the other seeds are awaited")
        } else if self.voters == 0 {
            Some("no group has taken this registry in yet")
        } else if self.heard_voters < self.quorum() {
            Some("too few voters of the group are heard of")
        } else if self.leader.is_none() {
            Some("the voters have not elected a leader yet")
        } else {
            None
        }
    }
}
