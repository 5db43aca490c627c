//! Slots between nodes: what a home has granted, and what an asker must still give back.

pub(crate) mod grant_table;
pub(crate) mod release_queue;
