use std::fmt;

use ragwortroad_types::NodeId;

use crate::MemberId;

/// A single-server membership change; only one may be in progress at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Adds a member that receives the log but does not count in quorums.
    AddLearner {
        /// Identity of the member's data folder.
        member: MemberId,
        /// The node that holds the folder.
        node: NodeId,
    },
    /// Makes a voter of a learner that has caught up.
    Promote {
        /// The learner to promote.
        member: MemberId,
    },
    /// Removes a voter or learner from the group.
    Remove {
        /// The member to remove.
        member: MemberId,
    },
}

/// The reason why a membership change was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeRefusal {
    /// Another change is not committed yet, or the leader has not committed an entry of its own
    /// term.
    ChangeUnderWay,
    /// The learner lacks too many entries, or has not been heard from recently.
    NotCaughtUp,
    /// The identity already belongs to a member.
    AlreadyMember,
    /// No member has this identity.
    NoSuchMember,
    /// The change would leave the group without a voter.
    LastVoter,
    /// The leader cannot remove itself.
    IsLeader,
}

impl fmt::Display for ChangeRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::ChangeUnderWay => "another membership change is under way; retry when it is done",
            Self::NotCaughtUp => "the learner has not caught up; retry when it has",
            Self::AlreadyMember => "it is a member already; nothing to do",
            Self::NoSuchMember => "no member has this identity; ask for the members",
            Self::LastVoter => "the last voter cannot be removed; add and promote another first",
            Self::IsLeader => "the leader cannot remove itself; hand over the leadership first",
        })
    }
}
