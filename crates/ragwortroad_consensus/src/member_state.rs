use std::collections::BTreeSet;

use crate::{
    LeaderState,
    MemberId,
    MemberSet, //
};

/// The Raft role of a member.
#[derive(Debug)]
pub(crate) enum MemberState {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether others would vote for it, without raising the term.
    PreCandidate {
        /// Those that would vote for it in the next term.
        supporters: VoteTally,
        /// Votes in the current term, which may be late and still count. `None` unless it was a
        /// candidate there since its start: votes that elected it before must not do so again.
        votes: Option<VoteTally>,
    },
    /// Requests votes in a new term.
    Candidate(VoteTally),
    /// Leads its term; it may act only while its lease is valid.
    Leader(Box<LeaderState>),
}

/// The votes granted to one candidate.
#[derive(Debug, Default)]
pub(crate) struct VoteTally {
    pub(crate) granted: BTreeSet<MemberId>,
}

impl VoteTally {
    /// Whether the granted votes form a quorum of `members`.
    pub(crate) fn has_quorum(&self, members: &MemberSet) -> bool {
        let count = members
            .voters()
            .filter(|voter| self.granted.contains(voter))
            .count();
        count >= members.quorum()
    }
}
