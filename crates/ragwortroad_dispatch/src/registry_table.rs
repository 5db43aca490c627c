use std::{
    collections::BTreeMap,
    time::Duration, //
};

use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    EndpointDeparture,
    EndpointRecord,
    EndpointStage, //
};

/// Announcements that an endpoint may miss before it counts as lost.
///
/// Endpoints announce themselves about once per interval, and try the next registry if one does not
/// respond within a second. Three consecutive misses plus that second are no coincidence of timing.
const MAX_MISSED_ANNOUNCEMENTS: u32 = 3;

/// Time that an endpoint needs to find another registry when one does not respond.
const FAILOVER_TIME: Duration = Duration::from_millis(1500);

/// How long a departed incarnation is remembered.
///
/// An announcement can arrive seconds late. Without the entry it would bring a departed endpoint
/// back, and requests would be sent to its closed port. A minute is far beyond such delays.
const GOODBYE_TTL: Duration = Duration::from_secs(60);

/// Deviation from the remaining warm-up time known to edges from which they are informed.
///
/// Smaller deviations are caused by delays of announcements.
const WARMUP_TOLERANCE: Duration = Duration::from_millis(500);

/// Number of announcement intervals for which an endpoint of an undrained domain counts as warming
/// up.
///
/// It may have become cold without work, and reports that in one of its next announcements.
const UNDRAIN_ANNOUNCEMENTS: u32 = 2;

/// Returns how long an endpoint counts as warming up after its domain was undrained.
pub fn undrain_warmup(announce_every: Duration) -> Duration {
    announce_every * UNDRAIN_ANNOUNCEMENTS
}

/// Endpoints that have announced themselves to one registry directly.
///
/// Each registry forwards only first-hand knowledge, to every edge directly, and edges merge it
/// (see [`EndpointTable`](crate::EndpointTable)). So a drain reaches the edges in one hop,
/// whichever registries are partitioned from each other.
#[derive(Debug)]
pub struct RegistryTable {
    interval: Duration,
    entries: BTreeMap<String, TableEntry>,
}

#[derive(Debug)]
struct TableEntry {
    record: EndpointRecord,
    heard_at: ClockTime,
    /// When the endpoint is warm, as published to edges.
    warm_at: ClockTime,
    /// Whether another registry knows that the endpoint is draining.
    is_drain_kept: bool,
}

impl TableEntry {
    fn new(record: EndpointRecord, now: ClockTime) -> Self {
        Self {
            warm_at: warm_at(&record, now),
            record,
            heard_at: now,
            is_drain_kept: false,
        }
    }

    /// Returns whether it and `record` are of one start that is draining.
    fn is_same_drain(&self, record: &EndpointRecord) -> bool {
        let is_draining = |record: &EndpointRecord| record.stage == EndpointStage::Draining;
        let is_same_start = self.record.started_ms == record.started_ms;
        is_same_start && is_draining(&self.record) && is_draining(record)
    }

    /// Returns the record to publish to edges now.
    fn current_record(&self, now: ClockTime) -> EndpointRecord {
        let warming = self.warm_at.since(now);
        EndpointRecord {
            warming_ms: warming.as_millis() as u32,
            ..self.record.clone()
        }
    }
}

/// Returns when an endpoint is warm, according to a record received at `now`.
pub(crate) fn warm_at(record: &EndpointRecord, now: ClockTime) -> ClockTime {
    now.after(Duration::from_millis(record.warming_ms.into()))
}

/// A change to publish to edges.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RegistryChange {
    /// The current record of an endpoint.
    Told(EndpointRecord),
    /// A known endpoint has to warm up again. Urgent, since edges send it requests at the full rate
    /// until they know.
    Cooled(EndpointRecord),
    /// An endpoint has missed its announcements at this registry.
    Lost(String),
    /// An endpoint has announced that it leaves for good.
    Goodbye(EndpointDeparture),
}

impl RegistryChange {
    /// Returns the name of the endpoint.
    pub fn name(&self) -> &str {
        match self {
            Self::Told(record) | Self::Cooled(record) => &record.name,
            Self::Goodbye(departure) => &departure.name,
            Self::Lost(name) => name,
        }
    }
}

impl RegistryTable {
    /// Creates a table for endpoints that announce themselves every `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            entries: BTreeMap::new(),
        }
    }

    /// Applies an announcement; returns the change to publish, if any.
    pub fn announce(&mut self, record: EndpointRecord, now: ClockTime) -> Option<RegistryChange> {
        let Some(entry) = self.entries.get_mut(&record.name) else {
            let entry = TableEntry::new(record.clone(), now);
            self.entries.insert(record.name.clone(), entry);
            return Some(RegistryChange::Told(record));
        };
        if is_outdated(&entry.record, &record) {
            return None;
        }
        let expected = entry.warm_at.max(now);
        let is_new = !has_same_content(&entry.record, &record);
        let mut latest = TableEntry::new(record.clone(), now);
        latest.is_drain_kept = entry.is_drain_kept && entry.is_same_drain(&record);
        let is_cooler = latest.warm_at.since(expected) > WARMUP_TOLERANCE;
        let is_warmer = expected.since(latest.warm_at) > WARMUP_TOLERANCE;
        if !is_cooler && !is_warmer {
            let warm_at = entry.warm_at;
            *entry = TableEntry { warm_at, ..latest };
            return is_new.then(|| RegistryChange::Told(entry.current_record(now)));
        }
        *entry = latest;
        Some(match is_cooler {
            true => RegistryChange::Cooled(record),
            false => RegistryChange::Told(record),
        })
    }

    /// Treats the endpoints of an undrained domain as warming up; returns the changes to publish.
    pub fn undrain_domain(&mut self, domain: &str, now: ClockTime) -> Vec<RegistryChange> {
        let warm_at = now.after(undrain_warmup(self.interval));
        let entries = self.entries.values_mut();
        let returned = entries.filter(|entry| {
            let is_ready = entry.record.stage == EndpointStage::Ready;
            is_ready && entry.record.zone == domain && entry.warm_at < warm_at
        });
        let cooled = returned.map(|entry| {
            entry.warm_at = warm_at;
            RegistryChange::Cooled(entry.current_record(now))
        });
        cooled.collect()
    }

    /// Returns the departure that a goodbye received at `wall_ms` (Unix milliseconds) announces.
    ///
    /// If the last known start has left already, the goodbye is either a repetition or from a start
    /// that has not announced itself here.
    pub fn departure(&self, name: &str, wall_ms: u64) -> EndpointDeparture {
        let entry = self.entries.get(name);
        let present = entry.filter(|entry| entry.record.stage != EndpointStage::Gone);
        EndpointDeparture {
            name: name.to_owned(),
            started_ms: present.map_or(wall_ms, |entry| entry.record.started_ms),
            is_start_known: present.is_some(),
        }
    }

    /// Applies a departure; returns the change to publish.
    ///
    /// It is kept and published even if the endpoint is unknown here: the endpoint may have
    /// announced itself to another registry, and requests would continue to be sent to it after it
    /// has left.
    pub fn apply_departure(
        &mut self,
        departure: EndpointDeparture,
        now: ClockTime,
    ) -> RegistryChange {
        let known = self.entries.get_mut(&departure.name);
        match known {
            None => {
                let entry = TableEntry::new(EndpointRecord::departed(&departure), now);
                self.entries.insert(departure.name.clone(), entry);
            }
            Some(entry) if entry.record.is_covered_by(&departure) => {
                entry.record.mark_gone(&departure);
                entry.heard_at = now;
            }
            Some(_) => {}
        }
        RegistryChange::Goodbye(departure)
    }

    /// Returns whether an announcement needs no copy at another registry: it reports no drain, or one
    /// that has a copy.
    pub fn is_drain_kept(&self, record: &EndpointRecord) -> bool {
        let entry = self.entries.get(&record.name);
        let is_kept = |entry: &TableEntry| entry.is_drain_kept && entry.is_same_drain(record);
        record.stage != EndpointStage::Draining || entry.is_some_and(is_kept)
    }

    /// Records that another registry knows of a drain.
    pub fn note_drain_kept(&mut self, record: &EndpointRecord) {
        if let Some(entry) = self.entries.get_mut(&record.name) {
            entry.is_drain_kept = entry.is_same_drain(record);
        }
    }

    /// Returns the changes that tell of the endpoints that are leaving or have left.
    pub fn leaving(&self, now: ClockTime) -> impl Iterator<Item = RegistryChange> {
        self.entries.values().filter_map(move |entry| {
            let record = &entry.record;
            match record.stage {
                EndpointStage::Ready => None,
                EndpointStage::Draining => Some(RegistryChange::Told(entry.current_record(now))),
                EndpointStage::Gone => Some(RegistryChange::Goodbye(EndpointDeparture {
                    name: record.name.clone(),
                    started_ms: record.started_ms,
                    is_start_known: true,
                })),
            }
        })
    }

    /// Removes endpoints that have missed their announcements; returns the changes to publish.
    pub fn expire(&mut self, now: ClockTime) -> Vec<RegistryChange> {
        let timeout = self.interval * (MAX_MISSED_ANNOUNCEMENTS + 1) + FAILOVER_TIME;
        let mut changes = Vec::new();
        self.entries.retain(|name, entry| {
            let silent = now.since(entry.heard_at);
            if entry.record.stage == EndpointStage::Gone {
                return silent < GOODBYE_TTL;
            }
            if silent < timeout {
                return true;
            }
            changes.push(RegistryChange::Lost(name.clone()));
            false
        });
        changes
    }

    /// Returns the records of all endpoints, for an edge that has just connected.
    pub fn records(&self, now: ClockTime) -> impl Iterator<Item = EndpointRecord> {
        self.entries
            .values()
            .map(move |entry| entry.current_record(now))
    }
}

/// Returns whether `record` is older than the known one.
pub(crate) fn is_outdated(known: &EndpointRecord, record: &EndpointRecord) -> bool {
    let same_start = known.started_ms == record.started_ms;
    if same_start && known.stage == EndpointStage::Gone {
        return true;
    }
    record.freshness() < known.freshness()
}

fn has_same_content(known: &EndpointRecord, record: &EndpointRecord) -> bool {
    let comparable = EndpointRecord {
        sequence: known.sequence,
        warming_ms: known.warming_ms,
        ..record.clone()
    };
    *known == comparable
}
