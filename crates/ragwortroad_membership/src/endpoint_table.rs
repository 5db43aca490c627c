use std::collections::BTreeMap;

use ragwortroad_types::prelude::*;

use crate::{
    EndpointPresence,
    EndpointRecord, //
};

/// What is known of one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct EndpointEntry {
    /// The record as told to others.
    pub(crate) record: EndpointRecord,
    /// When the record (not the load) arrived or was written.
    pub(crate) updated_at: ClockTime,
}

/// All endpoints known.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    /// Ordered, so that a run can be replayed.
    entries: BTreeMap<EndpointId, EndpointEntry>,
    /// Endpoints that are not gone by their home; counted here, as every announcement asks for it.
    ///
    /// Invariant: no count is zero, and their sum is `total`.
    home_counts: BTreeMap<NodeId, usize>,
    /// Endpoints that are not gone.
    total: usize,
}

impl EndpointTable {
    /// What is known of `endpoint`.
    pub(crate) fn get(&self, endpoint: EndpointId) -> Option<&EndpointEntry> {
        self.entries.get(&endpoint)
    }

    /// The record of `endpoint`.
    pub(crate) fn record(&self, endpoint: EndpointId) -> Option<&EndpointRecord> {
        self.entries.get(&endpoint).map(|entry| &entry.record)
    }

    /// Puts `record` in place of what was known; a load that is newer than the record's stays.
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

    /// Takes an entry that was replaced or removed out of the counts.
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

    /// Number of endpoints that are not gone, by home.
    pub(crate) fn home_counts(&self) -> &BTreeMap<NodeId, usize> {
        &self.home_counts
    }

    /// Number of endpoints that are not gone.
    pub(crate) fn total(&self) -> usize {
        self.total
    }

    /// Takes over a newer load; whether it was one.
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

    /// Forgets `endpoint`.
    pub(crate) fn remove(&mut self, endpoint: EndpointId) {
        let previous = self.entries.remove(&endpoint);
        self.remove_from_counts(previous.as_ref());
    }

    /// All endpoints.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (EndpointId, &EndpointEntry)> {
        self.entries.iter().map(|(id, entry)| (*id, entry))
    }

    /// Endpoints that are not gone, whose home is `node`.
    pub(crate) fn homed_at(&self, node: NodeId) -> impl Iterator<Item = EndpointId> + '_ {
        self.iter()
            .filter(move |(_, entry)| {
                entry.record.home == node && entry.record.presence != EndpointPresence::Gone
            })
            .map(|(id, _)| id)
    }
}

/// A load with what is needed to order it among others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadUpdate {
    /// Low byte of the incarnation.
    pub(crate) incarnation: u8,
    /// The announcement.
    pub(crate) sequence: u64,
    /// The load.
    pub(crate) load: crate::CoarseLoad,
}
