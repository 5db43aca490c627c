//! This node's part in the replicated state, where it has one.

pub(crate) mod leader_desk;
pub(crate) mod member_seat;
pub(crate) mod proposal_kind;
