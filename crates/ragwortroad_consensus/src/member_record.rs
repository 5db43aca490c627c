use ragwortroad_types::NodeId;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::MemberId;

/// Whether a member counts in quorums.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum MemberRole {
    /// Votes, and its acknowledgement counts.
    Voter,
    /// Receives everything and counts in no quorum.
    Learner,
}

/// One member of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberRecord {
    /// The identity of its data folder.
    pub member: MemberId,
    /// The node the folder is on.
    pub node: NodeId,
    /// Whether it counts in quorums.
    pub role: MemberRole,
}
