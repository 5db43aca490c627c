use std::collections::{
    BTreeMap,
    HashMap, //
};

use ragwortroad_types::prelude::*;

/// An engine's prefix cache, which evicts the least recently used block.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    max_blocks: usize,
    /// Invariant: maps each prefix to its timestamp in `by_last_used`.
    last_used: HashMap<PrefixKey, u64>,
    /// Invariant: the inverse of `last_used`.
    by_last_used: BTreeMap<u64, PrefixKey>,
    /// Logical clock that timestamps each use.
    clock: u64,
    sequence: u64,
    events: Vec<CacheEvent>,
}

impl PrefixCache {
    pub(crate) fn new(max_blocks: usize) -> Self {
        Self {
            max_blocks,
            ..Self::default()
        }
    }

    /// Returns how many leading blocks of the chain are cached.
    pub(crate) fn matching_blocks(&self, chain: &[PrefixKey]) -> usize {
        chain
            .iter()
            .take_while(|prefix| self.last_used.contains_key(prefix))
            .count()
    }

    /// Stores a chain, with its longest prefix as the least recently used, since longer prefixes
    /// are reused less often.
    pub(crate) fn store(&mut self, chain: &[PrefixKey]) {
        for prefix in chain.iter().rev() {
            self.touch(*prefix);
        }
        while self.last_used.len() > self.max_blocks {
            let Some((_, prefix)) = self.by_last_used.pop_first() else {
                return;
            };
            self.last_used.remove(&prefix);
            self.record_event(CacheChange::Evicted, prefix);
        }
    }

    /// Returns all cached prefixes, least recently used first.
    pub(crate) fn export(&self) -> Vec<PrefixKey> {
        self.by_last_used.values().copied().collect()
    }

    /// Removes and returns the events since the last call.
    pub(crate) fn drain_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }

    fn touch(&mut self, prefix: PrefixKey) {
        self.clock += 1;
        match self.last_used.insert(prefix, self.clock) {
            Some(last_use) => {
                self.by_last_used.remove(&last_use);
            }
            None => self.record_event(CacheChange::Stored, prefix),
        }
        self.by_last_used.insert(self.clock, prefix);
    }

    fn record_event(&mut self, change: CacheChange, prefix: PrefixKey) {
        self.sequence += 1;
        self.events.push(CacheEvent {
            sequence: self.sequence,
            change,
            prefix,
        });
    }
}
