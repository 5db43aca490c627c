//! Types of the gossip protocol, kept apart from the records in memory.

pub(crate) mod endpoint_item;
pub(crate) mod node_item;
pub(crate) mod packet_header;
pub(crate) mod packet_reader;
pub(crate) mod wire_error;
pub(crate) mod wire_item;
