//! This node's replica of the replicated state, on nodes that are members.

pub(crate) mod leader_context;
pub(crate) mod proposal_kind;
pub(crate) mod state_replica;
