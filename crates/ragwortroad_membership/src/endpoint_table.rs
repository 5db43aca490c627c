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
    pub(crate) changed: ClockTime,
}

/// All endpoints known.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    /// Ordered, so that a run can be replayed.
    entries: BTreeMap<EndpointId, EndpointEntry>,
    /// Endpoints that are not gone by their home; counted here, as every announcement asks for it.
    ///
    /// Invariant: no count is zero, and their sum is `total`.
    counts: BTreeMap<NodeId, usize>,
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
        if let Some(former) = self.entries.get(&record.id) {
            let former = &former.record;
            let newer_load = former.load_sequence > record.load_sequence;
            if former.incarnation == record.incarnation && newer_load {
                record.load = former.load;
                record.load_sequence = former.load_sequence;
            }
        }
        let entry = EndpointEntry {
            record,
            changed: now,
        };
        let counted = entry.record.home;
        let there = entry.record.presence != EndpointPresence::Gone;
        let former = self.entries.insert(entry.record.id, entry);
        self.uncount(former.as_ref());
        if there {
            *self.counts.entry(counted).or_insert(0) += 1;
            self.total += 1;
        }
    }

    /// Takes an entry that was replaced or removed out of the counts.
    fn uncount(&mut self, former: Option<&EndpointEntry>) {
        let there = |entry: &&EndpointEntry| entry.record.presence != EndpointPresence::Gone;
        let Some(entry) = former.filter(there) else {
            return;
        };
        self.total -= 1;
        if let Some(count) = self.counts.get_mut(&entry.record.home) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&entry.record.home);
            }
        }
    }

    /// Number of endpoints that are not gone, by home.
    pub(crate) fn home_counts(&self) -> &BTreeMap<NodeId, usize> {
        &self.counts
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
        let same = record.incarnation as u8 == load.incarnation;
        if !same || load.sequence <= record.load_sequence {
            return false;
        }
        record.load = load.load;
        record.load_sequence = load.sequence;
        true
    }

    /// Forgets `endpoint`.
    pub(crate) fn remove(&mut self, endpoint: EndpointId) {
        let former = self.entries.remove(&endpoint);
        self.uncount(former.as_ref());
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
