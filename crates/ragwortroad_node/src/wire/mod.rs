//! Messages between nodes, other than gossip and consensus frames.

pub(crate) mod follow_message;
pub(crate) mod message_codec;
pub(crate) mod slot_message;
