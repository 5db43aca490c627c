use std::collections::BTreeSet;

use crate::{
    LeaderState,
    MemberId,
    MemberSet, //
};

/// What a member is doing.
#[derive(Debug)]
pub(crate) enum MemberState {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks who would vote for it.
    PreCandidate(VoteTally),
    /// Asks for votes.
    Candidate(VoteTally),
    /// In charge, as long as its lease is valid.
    Leader(Box<LeaderState>),
}

/// Votes for one candidate.
#[derive(Debug, Default)]
pub(crate) struct VoteTally {
    pub(crate) granted: BTreeSet<MemberId>,
}

impl VoteTally {
    /// Whether the votes are a quorum of `members`.
    pub(crate) fn has_quorum(&self, members: &MemberSet) -> bool {
        let count = members
            .voters()
            .filter(|voter| self.granted.contains(voter))
            .count();
        count >= members.quorum()
    }
}
