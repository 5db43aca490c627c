use std::collections::BTreeMap;

use ragwortroad_types::{
    CacheChange,
    CacheEvent,
    ClockTime,
    EndpointId,
    PrefixKey, //
};

use crate::table::affinity_map::AffinityMap;

/// Which engine holds a prefix, from the cache events of engines this node is home of.
#[derive(Clone, Debug)]
pub(crate) struct PrefixIndex {
    /// The engine that stored each prefix last.
    engines: AffinityMap,
    /// The event number next_sequence next from each engine.
    next_sequence: BTreeMap<EndpointId, u64>,
    /// Events lost so far.
    lost: u64,
}

impl PrefixIndex {
    /// A memory of `entries` prefixes.
    pub(crate) fn new(entries: usize) -> Self {
        Self {
            engines: AffinityMap::new(entries),
            next_sequence: BTreeMap::new(),
            lost: 0,
        }
    }

    /// Takes in events of `endpoint`, in the order they came.
    ///
    /// A gap may hide evictions. The entries stay: acting on one that is wrong costs a recompute
    /// which forgetting it would cost for certain.
    pub(crate) fn observe(&mut self, endpoint: EndpointId, events: &[CacheEvent], now: ClockTime) {
        for event in events {
            let next_sequence = self.next_sequence.entry(endpoint).or_insert(event.sequence);
            if event.sequence > *next_sequence {
                self.lost += event.sequence - *next_sequence;
            }
            *next_sequence = event.sequence + 1;
            match event.change {
                CacheChange::Stored => self.engines.put(event.prefix.0, endpoint.0, now),
                CacheChange::Evicted => self.engines.forget(event.prefix.0, endpoint.0),
            }
        }
    }

    /// The engine that holds the longest of `prefixes`, and how many blocks that is.
    pub(crate) fn longest(&self, prefixes: &[PrefixKey]) -> Option<(EndpointId, usize)> {
        for (index, prefix) in prefixes.iter().enumerate().rev() {
            if let Some(endpoint) = self.engines.get(prefix.0) {
                return Some((EndpointId(endpoint), index + 1));
            }
        }
        None
    }

    /// Forgets the event count of an engine that is gone.
    pub(crate) fn remove(&mut self, endpoint: EndpointId) {
        self.next_sequence.remove(&endpoint);
    }

    /// Events that never came.
    pub(crate) fn lost(&self) -> u64 {
        self.lost
    }
}
