//! What nodes tell each other beside gossip and the replicated log.

pub(crate) mod follow_message;
pub(crate) mod message_codec;
pub(crate) mod slot_message;
