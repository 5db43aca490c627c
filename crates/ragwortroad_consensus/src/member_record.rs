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
    /// Votes in elections, and its acknowledgements count.
    Voter,
    /// Receives the log but does not count in quorums.
    Learner,
}

/// A member of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberRecord {
    /// Identity of the member's data folder.
    pub member: MemberId,
    /// The node that holds the folder.
    pub node: NodeId,
    /// Whether the member counts in quorums.
    pub role: MemberRole,
}
