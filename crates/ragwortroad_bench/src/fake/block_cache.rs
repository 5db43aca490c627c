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

/// An engine's prefix cache: blocks in limited memory, the least recently used go first, and of
/// those used at once the deepest, so that what is left is always a prefix.
#[derive(Clone, Debug)]
pub(crate) struct BlockCache {
    capacity: usize,
    /// Last use and depth of every block held. It is never iterated, so that its order is of no
    /// consequence.
    blocks: HashMap<PrefixKey, (u64, u32), BuildHasherDefault<Xxh3>>,
    lru_order: BTreeSet<(u64, Reverse<u32>, PrefixKey)>,
    /// Changes not yet published.
    events: Vec<CacheEvent>,
    next_event: u64,
}

impl BlockCache {
    /// An empty cache of `capacity` blocks.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: HashMap::default(),
            lru_order: BTreeSet::new(),
            events: Vec::new(),
            next_event: 0,
        }
    }

    /// Blocks of `chain` held, from its start.
    pub(crate) fn cached_prefix_blocks(&self, chain: &[PrefixKey]) -> usize {
        // What is held of a chain is a prefix of it.
        chain.partition_point(|key| self.blocks.contains_key(key))
    }

    /// Notes a use of all blocks of `chain`, which are held afterwards.
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

    /// Changes since the last call.
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
