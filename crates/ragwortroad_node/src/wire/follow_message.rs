use ragwortroad_consensus::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

/// What nodes and state members tell each other beside the replicated log itself.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum FollowMessage {
    /// What a member's data folder is, while a group is being founded.
    Founding(BootstrapHello),
    /// A node asks whether its configuration is current.
    Confirm {
        /// Number of the question.
        ask: u64,
        /// Differs between runs of the node's process.
        incarnation: u64,
        /// The revision in force at the node.
        revision: u64,
    },
    /// The leader's answer.
    Confirmed {
        /// The question.
        ask: u64,
        /// The revision that the lease is for.
        revision: u64,
        /// How long the node may admit work, counted from when it asked.
        lease_ms: u32,
        /// What the node lacks, where it lacks something.
        update: Option<ConfigUpdate>,
    },
    /// A member that hears no leader promises to accept no change for a while.
    Promised {
        /// The question.
        ask: u64,
        /// The revision that stays.
        revision: u64,
        /// The members that the promise is one of.
        members: Vec<NodeId>,
        /// How long, counted from when the node asked.
        lease_ms: u32,
    },
    /// The node asked is not the leader.
    Elsewhere {
        /// The leader by its knowledge.
        leader: Option<NodeId>,
    },
    /// Steps on claims for the leader's log.
    Claims {
        /// Number of the batch at its sender.
        batch: u64,
        /// The steps.
        steps: Vec<ClaimStep>,
    },
    /// What the state said to each step of a batch.
    ClaimsDone {
        /// The batch.
        batch: u64,
        /// The outcomes in the order of the steps.
        outcomes: Vec<ClaimOutcome>,
    },
    /// An operator's line for the leader.
    Line {
        /// Number of the line at its sender.
        token: u64,
        /// The line.
        line: OperatorLine,
    },
    /// The answer to a line.
    LineDone {
        /// The line's number.
        token: u64,
        /// HTTP status.
        status: u16,
        /// A JSON object.
        body: String,
    },
    /// A node with an empty data folder asks to become a member.
    Enlist {
        /// The identity of its folder.
        member: MemberId,
    },
}

/// An operator's line on its way to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct OperatorLine {
    /// SHA-256 of the operator's key; the leader checks it against its own configuration.
    pub(crate) key_hash: [u8; 32],
    /// The line as typed.
    pub(crate) line: String,
    /// Whether a change may be made.
    pub(crate) may_change: bool,
    /// Identity of the change.
    pub(crate) change_id: Option<String>,
}
