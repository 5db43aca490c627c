use std::fmt;

use ragwortroad_types::NodeId;

use crate::MemberId;

/// One step in the group's membership; only one is under way at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Let a member learn; it counts in no quorum.
    AddLearner {
        /// The identity of its data folder.
        member: MemberId,
        /// The node the folder is on.
        node: NodeId,
    },
    /// Let a learner that has caught up count in quorums.
    Promote {
        /// The learner.
        member: MemberId,
    },
    /// Take a member out.
    Remove {
        /// The member.
        member: MemberId,
    },
}

/// Why a membership change was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeRefusal {
    /// Another change is not committed yet, or the leader has not committed anything of its term.
    ChangeUnderWay,
    /// The learner lacks too many entries, or has not been heard of lately.
    NotCaughtUp,
    /// The member is one already.
    AlreadyMember,
    /// No member has this identity.
    NoSuchMember,
    /// The change would leave no voter.
    LastVoter,
    /// The leader cannot take itself out.
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
