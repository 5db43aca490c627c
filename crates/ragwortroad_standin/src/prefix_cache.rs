use std::collections::{
    BTreeMap,
    HashMap, //
};

use ragwortroad_types::prelude::*;

/// An engine's prefix cache: so many blocks, the least recently used dropped first.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    limit: usize,
    /// Invariant: holds the stamp under which each prefix stands in `order`.
    stamps: HashMap<PrefixKey, u64>,
    /// Invariant: the inverse of `stamps`.
    order: BTreeMap<u64, PrefixKey>,
    clock: u64,
    sequence: u64,
    events: Vec<CacheEvent>,
}

impl PrefixCache {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Blocks of the chain that are here from its start on.
    pub(crate) fn matched(&self, chain: &[PrefixKey]) -> usize {
        chain
            .iter()
            .take_while(|prefix| self.stamps.contains_key(prefix))
            .count()
    }

    /// Stores a chain, its longest prefix as the least recent, since it is of use the least often.
    pub(crate) fn store(&mut self, chain: &[PrefixKey]) {
        for prefix in chain.iter().rev() {
            self.touch(*prefix);
        }
        while self.stamps.len() > self.limit {
            let Some((_, prefix)) = self.order.pop_first() else {
                return;
            };
            self.stamps.remove(&prefix);
            self.note(CacheChange::Evicted, prefix);
        }
    }

    /// Everything stored, least recent first.
    pub(crate) fn export(&self) -> Vec<PrefixKey> {
        self.order.values().copied().collect()
    }

    /// Events since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }

    fn touch(&mut self, prefix: PrefixKey) {
        self.clock += 1;
        match self.stamps.insert(prefix, self.clock) {
            Some(stamp) => {
                self.order.remove(&stamp);
            }
            None => self.note(CacheChange::Stored, prefix),
        }
        self.order.insert(self.clock, prefix);
    }

    fn note(&mut self, change: CacheChange, prefix: PrefixKey) {
        self.sequence += 1;
        self.events.push(CacheEvent {
            sequence: self.sequence,
            change,
            prefix,
        });
    }
}
