use serde::{
    Deserialize,
    Serialize, //
};

use crate::PrefixKey;

/// Whether a prefix entered an engine's cache or left it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The prefix is in the cache now.
    Stored,
    /// The prefix was dropped.
    Evicted,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts up by one with every event since the engine started; a gap shows lost events.
    pub sequence: u64,
    /// What happened.
    pub change: CacheChange,
    /// The prefix.
    pub prefix: PrefixKey,
}
