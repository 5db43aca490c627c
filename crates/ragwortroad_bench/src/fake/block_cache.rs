use std::{
    cmp::Reverse,
    collections::{
        BTreeSet,
        HashMap, //
    },
    hash::BuildHasherDefault, //
};

use ragwortroad_types::{
    CacheChange,
    CacheEvent,
    PrefixKey, //
};
use xxhash_rust::xxh3::Xxh3;

/// An engine's prefix cache: an LRU cache of blocks. Of blocks used at the same time it evicts the
/// deepest first, so that the cached blocks of a prompt are always a prefix of it.
#[derive(Clone, Debug)]
pub(crate) struct BlockCache {
    capacity: usize,
    /// Last use and depth of every cached block. The map is never iterated, so that its order does
    /// not affect the run.
    blocks: HashMap<PrefixKey, (u64, u32), BuildHasherDefault<Xxh3>>,
    lru_order: BTreeSet<(u64, Reverse<u32>, PrefixKey)>,
    /// Stored and evicted blocks that have not been published.
    events: Vec<CacheEvent>,
    next_event: u64,
}

impl BlockCache {
    /// Creates an empty cache of `capacity` blocks.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: HashMap::default(),
            lru_order: BTreeSet::new(),
            events: Vec::new(),
            next_event: 0,
        }
    }

    /// Returns the length in blocks of the longest cached prefix of `chain`.
    pub(crate) fn cached_prefix_blocks(&self, chain: &[PrefixKey]) -> usize {
        // The cached blocks of a chain are a prefix of it, so a binary search finds their end.
        chain.partition_point(|key| self.blocks.contains_key(key))
    }

    /// Stores all blocks of `chain` with `tick` as their last use and evicts blocks above the
    /// capacity.
    pub(crate) fn touch(&mut self, chain: &[PrefixKey], tick: u64) {
        for (depth, key) in chain.iter().enumerate() {
            let depth = depth as u32;
            match self.blocks.insert(*key, (tick, depth)) {
                Some((used, depth)) => {
                    self.lru_order.remove(&(used, Reverse(depth), *key));
                }
                None => self.publish(CacheChange::Stored, *key),
            }
            self.lru_order.insert((tick, Reverse(depth), *key));
        }
        while self.blocks.len() > self.capacity {
            let Some((_, _, key)) = self.lru_order.pop_first() else {
                break;
            };
            self.blocks.remove(&key);
            self.publish(CacheChange::Evicted, key);
        }
    }

    /// Takes the cache events since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }

    fn publish(&mut self, change: CacheChange, prefix: PrefixKey) {
        let sequence = self.next_event;
        self.next_event += 1;
        self.events.push(CacheEvent {
            sequence,
            change,
            prefix,
        });
    }
}
