//! This node's part in the replicated state, where it has one.

pub(crate) mod leader_context;
pub(crate) mod proposal_kind;
pub(crate) mod state_replica;
