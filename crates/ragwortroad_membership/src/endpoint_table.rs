use std::collections::BTreeMap;

use ragwortroad_types::prelude::*;

use crate::{
    EndpointPresence,
    EndpointRecord, //
};

/// A record with the time it was last updated.
#[derive(Clone, Debug)]
pub(crate) struct EndpointEntry {
    /// The record as replicated to other nodes.
    pub(crate) record: EndpointRecord,
    /// When the record was received or created; load updates do not count.
    pub(crate) updated_at: ClockTime,
}

/// All known endpoints.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    /// Ordered, so that a replay with the same seed visits endpoints in the same order.
    entries: BTreeMap<EndpointId, EndpointEntry>,
    /// Number of endpoints by home, leaving out those that are gone. It is cached, as every
    /// announcement needs it.
    ///
    /// Invariant: no count is zero, and their sum is `total`.
    home_counts: BTreeMap<NodeId, usize>,
    /// Number of endpoints that are not gone.
    total: usize,
}

impl EndpointTable {
    pub(crate) fn get(&self, endpoint: EndpointId) -> Option<&EndpointEntry> {
        self.entries.get(&endpoint)
    }

    pub(crate) fn record(&self, endpoint: EndpointId) -> Option<&EndpointRecord> {
        self.entries.get(&endpoint).map(|entry| &entry.record)
    }

    /// Inserts or replaces a record. Keeps the stored load if it is newer than the record's.
    pub(crate) fn put(&mut self, mut record: EndpointRecord, now: ClockTime) {
        if let Some(previous) = self.entries.get(&record.id) {
            let previous = &previous.record;
            let newer_load = previous.load_sequence > record.load_sequence;
            if previous.incarnation == record.incarnation && newer_load {
                record.load = previous.load;
                record.load_sequence = previous.load_sequence;
            }
        }
        let entry = EndpointEntry {
            record,
            updated_at: now,
        };
        let home = entry.record.home;
        let is_counted = entry.record.presence != EndpointPresence::Gone;
        let previous = self.entries.insert(entry.record.id, entry);
        self.remove_from_counts(previous.as_ref());
        if is_counted {
            *self.home_counts.entry(home).or_insert(0) += 1;
            self.total += 1;
        }
    }

    /// Subtracts a replaced or removed entry from the cached counts.
    fn remove_from_counts(&mut self, previous: Option<&EndpointEntry>) {
        let is_counted = |entry: &&EndpointEntry| entry.record.presence != EndpointPresence::Gone;
        let Some(entry) = previous.filter(is_counted) else {
            return;
        };
        self.total -= 1;
        if let Some(count) = self.home_counts.get_mut(&entry.record.home) {
            *count -= 1;
            if *count == 0 {
                self.home_counts.remove(&entry.record.home);
            }
        }
    }

    /// Number of endpoints by home, leaving out those that are gone.
    pub(crate) fn home_counts(&self) -> &BTreeMap<NodeId, usize> {
        &self.home_counts
    }

    /// Number of endpoints that are not gone.
    pub(crate) fn total(&self) -> usize {
        self.total
    }

    /// Applies a load update if it is newer than the stored load, and returns whether it was.
    pub(crate) fn put_load(&mut self, endpoint: EndpointId, load: &LoadUpdate) -> bool {
        let Some(entry) = self.entries.get_mut(&endpoint) else {
            return false;
        };
        let record = &mut entry.record;
        let same_incarnation = record.incarnation as u8 == load.incarnation;
        if !same_incarnation || load.sequence <= record.load_sequence {
            return false;
        }
        record.load = load.load;
        record.load_sequence = load.sequence;
        true
    }

    pub(crate) fn remove(&mut self, endpoint: EndpointId) {
        let previous = self.entries.remove(&endpoint);
        self.remove_from_counts(previous.as_ref());
    }

    /// Iterates over all endpoints in the order of their identities.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (EndpointId, &EndpointEntry)> {
        self.entries.iter().map(|(id, entry)| (*id, entry))
    }

    /// Endpoints whose home is `node`, leaving out those that are gone.
    pub(crate) fn homed_at(&self, node: NodeId) -> impl Iterator<Item = EndpointId> + '_ {
        self.iter()
            .filter(move |(_, entry)| {
                entry.record.home == node && entry.record.presence != EndpointPresence::Gone
            })
            .map(|(id, _)| id)
    }
}

/// A load together with the version that orders it among other loads.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadUpdate {
    /// Low byte of the endpoint's incarnation.
    pub(crate) incarnation: u8,
    /// Sequence number of the announcement that the load is from.
    pub(crate) sequence: u64,
    pub(crate) load: crate::CoarseLoad,
}
