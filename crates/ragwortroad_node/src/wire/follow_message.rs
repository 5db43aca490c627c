use ragwortroad_consensus::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

/// Messages between nodes and members of the replicated state, other than consensus frames.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum FollowMessage {
    /// Describes a member's data folder while the group is bootstrapped.
    Founding(BootstrapHello),
    /// A node asks whether its configuration is current.
    Confirm {
        /// Number of the query.
        ask: u64,
        /// Differs between runs of the node's process.
        incarnation: u64,
        /// The revision in force at the node.
        revision: u64,
    },
    /// The leader's answer to `Confirm`.
    Confirmed {
        /// Number of the query.
        ask: u64,
        /// The revision that the lease is for.
        revision: u64,
        /// Time the node may admit requests, counted from when it asked.
        lease_ms: u32,
        /// What the node's configuration lacks; `None` if it is current.
        update: Option<ConfigUpdate>,
    },
    /// A member that hears no leader promises to accept no change for some time.
    Promised {
        /// Number of the query.
        ask: u64,
        /// The revision that stays in force.
        revision: u64,
        /// The group's members, of which the promise comes from one.
        members: Vec<NodeId>,
        /// Duration of the promise, counted from when the node asked.
        lease_ms: u32,
    },
    /// The receiver is not the leader.
    Elsewhere {
        /// The leader as far as the sender knows it.
        leader: Option<NodeId>,
    },
    /// Claim steps for the leader's log.
    Claims {
        /// Number of the batch at its sender.
        batch: u64,
        steps: Vec<ClaimStep>,
    },
    /// The outcomes of a batch of claim steps.
    ClaimsDone {
        /// Number of the batch.
        batch: u64,
        /// The outcomes in the order of the steps.
        outcomes: Vec<ClaimOutcome>,
    },
    /// An operator's line, forwarded to the leader.
    Line {
        /// Number of the line at its sender.
        token: u64,
        line: OperatorLine,
    },
    /// The leader's response to a line.
    LineDone {
        /// Number of the line.
        token: u64,
        /// HTTP status.
        status: u16,
        /// A JSON object.
        body: String,
    },
    /// A node whose data folder isn't part of the group asks to become a member.
    Enlist {
        /// The identity of its data folder.
        member: MemberId,
    },
}

/// An operator's line, as forwarded to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct OperatorLine {
    /// SHA-256 of the operator's key; the leader checks it against its own configuration.
    pub(crate) key_hash: [u8; 32],
    /// The line as typed.
    pub(crate) line: String,
    /// Whether the line may make a change.
    pub(crate) may_change: bool,
    /// Deduplicates a resent change; absent for queries.
    pub(crate) change_id: Option<String>,
}
