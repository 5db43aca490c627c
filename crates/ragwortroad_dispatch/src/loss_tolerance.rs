use ragwortroad_consensus::prelude::*;

/// Losses that a group of registries must bear without losing what it has committed, or its quorum.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LossTolerance {
    /// Disks that may be lost at the same time.
    pub disks: usize,
}

impl LossTolerance {
    /// Smallest number of voters that bears the losses.
    pub fn needed_voters(&self) -> usize {
        2 * self.disks + 1
    }

    /// Whether a quorum is left of `members` after the loss of any `disks` voters.
    ///
    /// Each quorum then shares a voter with what is left of any other one, so a committed entry is
    /// among the entries of every later leader.
    pub fn is_met_by(&self, members: &MemberSet) -> bool {
        let voters = members.voters().count();
        voters >= members.quorum() + self.disks
    }
}
