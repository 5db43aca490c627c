//! Slots between nodes: those a home has granted, and those a requester must still release.

pub(crate) mod grant_table;
pub(crate) mod release_queue;
