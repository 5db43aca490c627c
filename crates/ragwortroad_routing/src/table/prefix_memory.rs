use std::collections::BTreeMap;

use ragwortroad_types::{
    CacheChange,
    CacheEvent,
    ClockTime,
    EndpointId,
    PrefixKey, //
};

use crate::table::chat_memory::ChatMemory;

/// Which engine holds a prefix, from the cache events of engines this node is home of.
#[derive(Clone, Debug)]
pub(crate) struct PrefixMemory {
    /// The engine that stored each prefix last.
    places: ChatMemory,
    /// The event number expected next from each engine.
    expected: BTreeMap<EndpointId, u64>,
    /// Events lost so far.
    lost: u64,
}

impl PrefixMemory {
    /// A memory of `entries` prefixes.
    pub(crate) fn new(entries: usize) -> Self {
        Self {
            places: ChatMemory::new(entries),
            expected: BTreeMap::new(),
            lost: 0,
        }
    }

    /// Takes in events of `endpoint`, in the order they came.
    ///
    /// A gap may hide evictions. The entries stay: acting on one that is wrong costs a recompute
    /// which forgetting it would cost for certain.
    pub(crate) fn observe(&mut self, endpoint: EndpointId, events: &[CacheEvent], now: ClockTime) {
        for event in events {
            let expected = self.expected.entry(endpoint).or_insert(event.sequence);
            if event.sequence > *expected {
                self.lost += event.sequence - *expected;
            }
            *expected = event.sequence + 1;
            match event.change {
                CacheChange::Stored => self.places.put(event.prefix.0, endpoint.0, now),
                CacheChange::Evicted => self.places.forget(event.prefix.0, endpoint.0),
            }
        }
    }

    /// The engine that holds the longest of `prefixes`, and how many blocks that is.
    pub(crate) fn longest(&self, prefixes: &[PrefixKey]) -> Option<(EndpointId, usize)> {
        for (index, prefix) in prefixes.iter().enumerate().rev() {
            if let Some(endpoint) = self.places.get(prefix.0) {
                return Some((EndpointId(endpoint), index + 1));
            }
        }
        None
    }

    /// Forgets the event count of an engine that is gone.
    pub(crate) fn remove(&mut self, endpoint: EndpointId) {
        self.expected.remove(&endpoint);
    }

    /// Events that never came.
    pub(crate) fn lost(&self) -> u64 {
        self.lost
    }
}
