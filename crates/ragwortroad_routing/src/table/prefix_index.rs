use std::collections::BTreeMap;

use ragwortroad_types::{
    CacheChange,
    CacheEvent,
    ClockTime,
    EndpointId,
    PrefixKey, //
};

use crate::table::affinity_map::AffinityMap;

/// Maps prefixes to the engines that cache them, from the cache events of engines whose home is
/// this node.
#[derive(Clone, Debug)]
pub(crate) struct PrefixIndex {
    /// The engine that stored each prefix last.
    engines: AffinityMap,
    /// Sequence number of the next event from each engine.
    next_sequence: BTreeMap<EndpointId, u64>,
    /// Number of lost events.
    lost: u64,
}

impl PrefixIndex {
    /// Creates an index of at least `entries` prefixes.
    pub(crate) fn new(entries: usize) -> Self {
        Self {
            engines: AffinityMap::new(entries),
            next_sequence: BTreeMap::new(),
            lost: 0,
        }
    }

    /// Applies events of `endpoint` in the order of their arrival.
    ///
    /// A gap may hide evictions. The entries stay, since a wrong entry costs one recompute, which
    /// removing the entry would cost for certain.
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

    /// Returns the engine that holds the longest of `prefixes`, and the number of blocks of that
    /// prefix.
    pub(crate) fn longest(&self, prefixes: &[PrefixKey]) -> Option<(EndpointId, usize)> {
        for (index, prefix) in prefixes.iter().enumerate().rev() {
            if let Some(endpoint) = self.engines.get(prefix.0) {
                return Some((EndpointId(endpoint), index + 1));
            }
        }
        None
    }

    /// Removes the sequence number of an engine.
    pub(crate) fn remove(&mut self, endpoint: EndpointId) {
        self.next_sequence.remove(&endpoint);
    }

    /// Returns the number of events that never arrived.
    pub(crate) fn lost(&self) -> u64 {
        self.lost
    }
}
