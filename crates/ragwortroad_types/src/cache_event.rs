use serde::{
    Deserialize,
    Serialize, //
};

use crate::PrefixKey;

/// Whether a prefix was added to an engine's cache or removed from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The prefix has been added to the cache.
    Stored,
    /// The prefix has been removed from the cache.
    Evicted,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheEvent {
    /// Incremented by one with every event since the engine started; a gap indicates lost events.
    pub sequence: u64,
    /// Whether the prefix was stored or evicted.
    pub change: CacheChange,
    /// The prefix that was stored or evicted.
    pub prefix: PrefixKey,
}
