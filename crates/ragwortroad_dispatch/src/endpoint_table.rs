use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::{
    EndpointRecord,
    EndpointStage,
    EndpointTag,
    registry_table::{
        is_outdated,
        warm_at, //
    }, //
};

/// A registry that an edge hears of endpoints from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceKey(pub u32);

/// An endpoint known to an edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointKey(pub u32);

/// How long an endpoint stays known that no registry vouches for any more.
///
/// A registry that is lost takes its first-hand knowledge along, and its endpoints need a few
/// announcements to find another one. Removing them at once would leave a site without endpoints
/// whenever all registries restart; an endpoint that is really gone is noticed by the requests
/// that fail there, within one of them.
const ORPHAN_TTL: Duration = Duration::from_secs(8);

/// How long an endpoint stays known whose registry has missed its announcements.
///
/// It has been silent for several intervals then; this is for one that turned to another registry
/// a moment ago.
const LOST_TTL: Duration = Duration::from_millis(1500);

/// How long it stays known that an incarnation has left; late announcements are older than that.
const GOODBYE_TTL: Duration = Duration::from_secs(60);

/// What an edge knows of endpoints, merged from all registries.
#[derive(Debug, Default)]
pub struct EndpointTable {
    names: BTreeMap<String, EndpointKey>,
    tags: BTreeMap<EndpointTag, EndpointKey>,
    entries: BTreeMap<EndpointKey, EndpointEntry>,
    next_key: u32,
}

#[derive(Debug)]
struct EndpointEntry {
    record: EndpointRecord,
    /// Registries that add_holder for it.
    holders: BTreeSet<SourceKey>,
    /// Since when nobody vouches for it, or it is known to be gone.
    unheld_since: Option<ClockTime>,
    /// Whether the last one that vouched for it has missed its announcements since.
    is_lost: bool,
    /// When it is warm, by its own word.
    warm_at: ClockTime,
    /// Until when it counts as warming up whatever it said, since its domain was drained.
    undrain_warmup_until: ClockTime,
}

/// What an update has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointChange {
    /// Nothing that matters to requests.
    Unchanged,
    /// It is new, or started anew.
    Started(EndpointKey),
    /// It takes no new work any more.
    Stopped(EndpointKey),
    /// It takes work as before, with other details.
    Changed(EndpointKey),
}

impl EndpointTable {
    /// Takes what `source` heard from an endpoint itself.
    pub fn apply_record(
        &mut self,
        source: SourceKey,
        record: EndpointRecord,
        now: ClockTime,
    ) -> EndpointChange {
        self.retire_predecessors(&record, now);
        let Some(&key) = self.names.get(&record.name) else {
            return self.insert(source, record, now);
        };
        let Some(entry) = self.entries.get_mut(&key) else {
            return EndpointChange::Unchanged;
        };
        // A registry may know of a goodbye and of fewer announcements than others: the goodbye
        // is the later word all the same.
        let same_start = record.started_ms == entry.record.started_ms;
        let is_goodbye = same_start && record.stage == EndpointStage::Gone;
        if is_outdated(&entry.record, &record) && !is_goodbye {
            if same_start {
                entry.add_holder(source);
            }
            return EndpointChange::Unchanged;
        }
        let restarted = record.started_ms > entry.record.started_ms;
        let before = entry.record.stage;
        entry.holders.insert(source);
        entry.is_lost = false;
        entry.unheld_since = (record.stage == EndpointStage::Gone).then_some(now);
        entry.warm_at = warm_at(&record, now);
        entry.record = record;
        let ready = entry.record.stage == EndpointStage::Ready;
        match (before == EndpointStage::Ready, ready) {
            (true, false) => EndpointChange::Stopped(key),
            (false, true) => EndpointChange::Started(key),
            (true, true) if restarted => EndpointChange::Started(key),
            (true, true) => EndpointChange::Changed(key),
            (false, false) => EndpointChange::Unchanged,
        }
    }

    fn insert(
        &mut self,
        source: SourceKey,
        record: EndpointRecord,
        now: ClockTime,
    ) -> EndpointChange {
        let key = EndpointKey(self.next_key);
        self.next_key += 1;
        self.tags.insert(EndpointTag::of(&record.name), key);
        self.names.insert(record.name.clone(), key);
        let ready = record.stage == EndpointStage::Ready;
        let gone = record.stage == EndpointStage::Gone;
        let entry = EndpointEntry {
            warm_at: warm_at(&record, now),
            record,
            holders: BTreeSet::from([source]),
            unheld_since: gone.then_some(now),
            is_lost: false,
            undrain_warmup_until: ClockTime::ZERO,
        };
        self.entries.insert(key, entry);
        match ready {
            true => EndpointChange::Started(key),
            false => EndpointChange::Unchanged,
        }
    }

    /// `source` has not heard of an endpoint for too long.
    pub fn mark_lost(&mut self, source: SourceKey, name: &str, now: ClockTime) {
        let key = self.names.get(name);
        if let Some(entry) = key.and_then(|key| self.entries.get_mut(key)) {
            entry.holders.remove(&source);
            entry.note_unheld(now);
            entry.is_lost = entry.holders.is_empty();
        }
    }

    /// Another endpoint has answered at the address of this one: this incarnation is gone.
    pub fn mark_replaced(&mut self, key: EndpointKey, now: ClockTime) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.record.stage = EndpointStage::Gone;
            entry.unheld_since = Some(now);
        }
    }

    /// Ends what was at the address of an endpoint that has started later.
    ///
    /// An endpoint that crashed comes back at its address within a second or two under a new name.
    /// Its predecessor name goes on being known until announcements are missed; each request sent to it
    /// meanwhile is turned down, and costs its caller one of few attempts.
    fn retire_predecessors(&mut self, record: &EndpointRecord, now: ClockTime) {
        for entry in self.entries.values_mut() {
            let predecessor = &entry.record;
            let is_predecessor = predecessor.address == record.address
                && predecessor.name != record.name
                && predecessor.started_ms < record.started_ms
                && predecessor.stage != EndpointStage::Gone;
            if is_predecessor {
                entry.record.stage = EndpointStage::Gone;
                entry.unheld_since = Some(now);
            }
        }
    }

    /// Takes it that the endpoints of a domain warm up until `until`: it is no longer drained, and
    /// they may have gone cold without work and have yet to say so.
    pub fn undrain_domain(&mut self, domain: &str, until: ClockTime) {
        let entries = self.entries.values_mut();
        for entry in entries.filter(|entry| entry.record.zone == domain) {
            entry.undrain_warmup_until = until;
        }
    }

    /// Whether an endpoint warms up.
    pub fn is_warming(&self, key: EndpointKey, now: ClockTime) -> bool {
        let entry = self.entries.get(&key);
        entry.is_some_and(|entry| now < entry.warm_at.max(entry.undrain_warmup_until))
    }

    /// An endpoint said goodbye at some registry.
    pub fn apply_goodbye(&mut self, name: &str, now: ClockTime) -> EndpointChange {
        let Some(&key) = self.names.get(name) else {
            return EndpointChange::Unchanged;
        };
        let Some(entry) = self.entries.get_mut(&key) else {
            return EndpointChange::Unchanged;
        };
        let was_ready = entry.record.stage == EndpointStage::Ready;
        entry.record.stage = EndpointStage::Gone;
        entry.unheld_since = Some(now);
        match was_ready {
            true => EndpointChange::Stopped(key),
            false => EndpointChange::Unchanged,
        }
    }

    /// The connection to `source` ended: its word counts no longer.
    pub fn drop_source(&mut self, source: SourceKey, now: ClockTime) {
        for entry in self.entries.values_mut() {
            if entry.holders.remove(&source) {
                entry.note_unheld(now);
            }
        }
    }

    /// Forgets what nobody has vouched for long enough; returns the endpoints forgotten.
    pub fn expire(&mut self, now: ClockTime) -> Vec<EndpointKey> {
        let mut forgotten = Vec::new();
        self.entries.retain(|&key, entry| {
            let limit = match entry.record.stage {
                EndpointStage::Gone => GOODBYE_TTL,
                _ if entry.is_lost => LOST_TTL,
                _ => ORPHAN_TTL,
            };
            let keep = entry
                .unheld_since
                .is_none_or(|since| now.since(since) < limit);
            if !keep {
                forgotten.push(key);
            }
            keep
        });
        let entries = &self.entries;
        self.names.retain(|_, key| entries.contains_key(key));
        self.tags.retain(|_, key| entries.contains_key(key));
        forgotten
    }

    /// The endpoint of a tag.
    pub fn find(&self, tag: EndpointTag) -> Option<EndpointKey> {
        self.tags.get(&tag).copied()
    }

    /// What an endpoint said last.
    pub fn record(&self, key: EndpointKey) -> Option<&EndpointRecord> {
        self.entries.get(&key).map(|entry| &entry.record)
    }

    /// Addresses of the endpoints of a failure domain that are not known to be gone.
    pub fn addresses(&self, domain: &str) -> impl Iterator<Item = SocketAddr> {
        let records = self.entries.values().map(|entry| &entry.record);
        let there = records.filter(|record| record.stage != EndpointStage::Gone);
        let there = there.filter(move |record| record.zone == domain);
        there.map(|record| record.address)
    }

    /// Number of endpoints that take new work.
    pub fn ready_count(&self) -> usize {
        let entries = self.entries.values();
        let ready = entries.filter(|entry| entry.record.stage == EndpointStage::Ready);
        ready.count()
    }

    /// Endpoints of a service that take new work.
    pub fn ready(&self, service: &str) -> impl Iterator<Item = (EndpointKey, &EndpointRecord)> {
        let entries = self.entries.iter();
        let records = entries.map(|(&key, entry)| (key, &entry.record));
        records.filter(move |(_, record)| {
            record.stage == EndpointStage::Ready && record.service == service
        })
    }
}

impl EndpointEntry {
    /// A registry hears from this incarnation, though what it says of it is known already.
    ///
    /// It tells nothing more while the endpoint says the same. Left out among the holders, it would
    /// not count when the registry that had the later word misses the endpoint: one edge would give
    /// up all endpoints for good, and refuse its callers while the other edges serve theirs.
    fn add_holder(&mut self, source: SourceKey) {
        if self.record.stage == EndpointStage::Gone {
            return;
        }
        self.holders.insert(source);
        self.is_lost = false;
        self.unheld_since = None;
    }

    fn note_unheld(&mut self, now: ClockTime) {
        if self.holders.is_empty() && self.unheld_since.is_none() {
            self.unheld_since = Some(now);
        }
    }
}
