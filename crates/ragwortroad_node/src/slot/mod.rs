//! Slots between nodes: what a home has granted, and what an asker must still give back.

pub(crate) mod grant_book;
pub(crate) mod release_queue;
