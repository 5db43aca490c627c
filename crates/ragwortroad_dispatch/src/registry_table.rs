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
    EndpointRecord,
    EndpointStage, //
};

/// Announcements that may be missed before an endpoint counts as lost.
///
/// Endpoints announce themselves about once an interval and try the next registry where one does
/// not answer within a second; three missed in a row, plus that second, are no accident of timing.
const MAX_MISSED_ANNOUNCEMENTS: u32 = 3;

/// Time for an endpoint to find another registry where one did not answer.
const FAILOVER_TIME: Duration = Duration::from_millis(1500);

/// How long it stays known that an incarnation has left.
///
/// An announcement can arrive seconds late; without the note it would bring an endpoint back that
/// is gone, and requests would run into its closed port. A minute is far beyond such delays.
const GOODBYE_TTL: Duration = Duration::from_secs(60);

/// Difference from the time to warm up that edges expect from which they are told of it.
///
/// Below it lie the delays of announcements.
const WARMUP_TOLERANCE: Duration = Duration::from_millis(500);

/// Announcements for which an endpoint of a domain that was drained counts as warming up.
///
/// It may have gone cold without work, and says so with one of its next announcements.
const UNDRAIN_ANNOUNCEMENTS: u32 = 2;

/// Time for which an endpoint counts as warming up once its domain is no longer drained.
pub fn undrain_warmup(announce_every: Duration) -> Duration {
    announce_every * UNDRAIN_ANNOUNCEMENTS
}

/// What one registry heard from endpoints itself.
///
/// Each registry passes on only what it has heard first-hand, to every edge directly; edges merge
/// (see [`EndpointTable`](crate::EndpointTable)). So news of a drain takes one hop, whichever
/// registries are cut off from each other.
#[derive(Debug)]
pub struct RegistryTable {
    interval: Duration,
    entries: BTreeMap<String, TableEntry>,
}

#[derive(Debug)]
struct TableEntry {
    record: EndpointRecord,
    heard_at: ClockTime,
    /// When it is warm, as edges were told.
    warm_at: ClockTime,
}

impl TableEntry {
    fn new(record: EndpointRecord, now: ClockTime) -> Self {
        Self {
            warm_at: warm_at(&record, now),
            record,
            heard_at: now,
        }
    }

    /// What edges are told now.
    fn current_record(&self, now: ClockTime) -> EndpointRecord {
        let warming = self.warm_at.since(now);
        EndpointRecord {
            warming_ms: warming.as_millis() as u32,
            ..self.record.clone()
        }
    }
}

/// When an endpoint is warm by what it says now.
pub(crate) fn warm_at(record: &EndpointRecord, now: ClockTime) -> ClockTime {
    now.after(Duration::from_millis(record.warming_ms.into()))
}

/// What edges have to be told.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RegistryChange {
    /// What an endpoint says now.
    Told(EndpointRecord),
    /// A known endpoint has to warm up anew; requests go on at the full rate until edges know.
    Cooled(EndpointRecord),
    /// An endpoint has not been heard of here for too long.
    Lost(String),
    /// An endpoint said that it leaves for good.
    Goodbye(String),
}

impl RegistryChange {
    /// Name of the endpoint that it is about.
    pub fn name(&self) -> &str {
        match self {
            Self::Told(record) | Self::Cooled(record) => &record.name,
            Self::Lost(name) | Self::Goodbye(name) => name,
        }
    }
}

impl RegistryTable {
    /// A table for endpoints that announce themselves every `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            entries: BTreeMap::new(),
        }
    }

    /// Takes an announcement; tells what edges must know of it.
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
        let is_news = !has_same_content(&entry.record, &record);
        let latest = TableEntry::new(record.clone(), now);
        let is_cooler = latest.warm_at.since(expected) > WARMUP_TOLERANCE;
        let is_warmer = expected.since(latest.warm_at) > WARMUP_TOLERANCE;
        if !is_cooler && !is_warmer {
            let warm_at = entry.warm_at;
            *entry = TableEntry { warm_at, ..latest };
            return is_news.then(|| RegistryChange::Told(entry.current_record(now)));
        }
        *entry = latest;
        Some(match is_cooler {
            true => RegistryChange::Cooled(record),
            false => RegistryChange::Told(record),
        })
    }

    /// Takes it that the endpoints of a domain warm up, since it is no longer drained; tells what
    /// edges must know of it.
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

    /// Takes a goodbye, which names nothing but the endpoint; tells what edges must know of it.
    ///
    /// Edges are told also where nothing was heard of it here: another registry may have been the
    /// one it announced itself to, and requests would go on to an endpoint that has left.
    pub fn apply_goodbye(&mut self, name: &str, now: ClockTime) -> RegistryChange {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.record.stage = EndpointStage::Gone;
            entry.heard_at = now;
        }
        RegistryChange::Goodbye(name.to_owned())
    }

    /// Drops what has not been heard of for too long; tells what edges must know of it.
    pub fn expire(&mut self, now: ClockTime) -> Vec<RegistryChange> {
        let patience = self.interval * (MAX_MISSED_ANNOUNCEMENTS + 1) + FAILOVER_TIME;
        let mut changes = Vec::new();
        self.entries.retain(|name, entry| {
            let silent = now.since(entry.heard_at);
            if entry.record.stage == EndpointStage::Gone {
                return silent < GOODBYE_TTL;
            }
            if silent < patience {
                return true;
            }
            changes.push(RegistryChange::Lost(name.clone()));
            false
        });
        changes
    }

    /// All that an edge must know when it connects.
    pub fn records(&self, now: ClockTime) -> impl Iterator<Item = EndpointRecord> {
        self.entries
            .values()
            .map(move |entry| entry.current_record(now))
    }
}

/// Whether `record` was overtaken by what is known.
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
