use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    net::SocketAddr,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::{
    EndpointDeparture,
    EndpointKey,
    EndpointRecord,
    EndpointStage,
    EndpointTag,
    VersionTag,
    domain_set::{
        DomainKey,
        DomainSet, //
    },
    ready_index::{
        ReadyEndpoint,
        ReadyIndex, //
    },
    ready_set::ReadySet,
    registry_table::{
        is_outdated,
        warm_at, //
    }, //
};

/// Key of a registry from which an edge learns of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceKey(pub u32);

/// How long an endpoint is kept after its last registry was disconnected.
///
/// A lost registry takes its first-hand knowledge along, and its endpoints need a few announcements
/// to find another one. Removing them at once would leave a site without endpoints whenever all
/// registries restart. An endpoint that is really gone is detected by the first request that fails
/// there.
const ORPHAN_TTL: Duration = Duration::from_secs(8);

/// How long an endpoint is kept after its last registry has reported it lost.
///
/// The endpoint has missed several announcements by then; this time is for one that has just
/// switched to another registry.
const LOST_TTL: Duration = Duration::from_millis(1500);

/// How long an incarnation that has left, or has said that it leaves, is remembered; later
/// announcements of it are not expected.
const GOODBYE_TTL: Duration = Duration::from_secs(60);

/// Endpoints known to an edge, merged from all registries.
///
/// The cost of an update, an expiry check and a scan of the ready endpoints does not depend on the
/// other endpoints: a fleet has thousands, which announce themselves within a second.
#[derive(Debug, Default)]
pub struct EndpointTable {
    names: HashMap<String, EndpointKey>,
    tags: HashMap<EndpointTag, EndpointKey>,
    entries: BTreeMap<EndpointKey, EndpointEntry>,
    /// Endpoints by the address of their record.
    ///
    /// Invariant: holds each entry once; no list is empty.
    addresses: HashMap<SocketAddr, Vec<EndpointKey>>,
    /// Invariant: holds exactly the entries whose stage is `Ready`.
    ready: ReadyIndex,
    /// When entries that no registry reports expire.
    ///
    /// Invariant: holds each entry with its `expires_at`, if it has one.
    expiries: BTreeSet<(ClockTime, EndpointKey)>,
    /// Names of failure domains, by `DomainKey`.
    domains: Vec<String>,
    next_key: u32,
}

#[derive(Debug)]
struct EndpointEntry {
    record: EndpointRecord,
    /// Registries that currently report the endpoint.
    holders: BTreeSet<SourceKey>,
    /// Since when no registry has reported the endpoint, or it has been known to be gone.
    unheld_since: Option<ClockTime>,
    /// When the entry expires, as entered in the table's expiries.
    expires_at: Option<ClockTime>,
    /// Whether the endpoint has said in a response that it leaves.
    ///
    /// Invariant: while true, the stage of `record` is not `Ready`.
    is_leaving: bool,
    /// Whether the last registry that reported it has reported it lost since.
    is_lost: bool,
    /// When the endpoint is warm, according to its own announcement.
    warm_at: ClockTime,
    /// Until when the endpoint counts as warming up regardless of its announcements, because its
    /// domain was undrained.
    undrain_warmup_until: ClockTime,
}

/// Effect of an update on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointChange {
    /// Nothing relevant to requests has changed.
    Same,
    /// The endpoint is new or has restarted.
    Started(EndpointKey),
    /// The endpoint no longer accepts new work.
    Stopped(EndpointKey),
    /// The endpoint still accepts work, with changed details.
    Changed(EndpointKey),
}

impl EndpointTable {
    /// Applies a record that the registry `source` received from an endpoint directly.
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
            return EndpointChange::Same;
        };
        if record.stage == EndpointStage::Gone {
            let departure = EndpointDeparture {
                name: record.name,
                started_ms: record.started_ms,
                is_start_known: true,
            };
            return self.apply_departure(source, &departure, now);
        }
        if is_outdated(&entry.record, &record) {
            if record.started_ms == entry.record.started_ms {
                entry.add_holder(source);
                self.update_indexes(key);
            }
            return EndpointChange::Same;
        }
        let restarted = record.started_ms > entry.record.started_ms;
        let before = entry.record.stage;
        let former = (entry.record.address, entry.record.service.clone());
        entry.holders.insert(source);
        entry.is_lost = false;
        entry.unheld_since = None;
        entry.warm_at = warm_at(&record, now);
        entry.is_leaving &= !restarted;
        entry.record = record;
        if entry.is_leaving && entry.record.stage == EndpointStage::Ready {
            // The announcement is older than the response, or comes from a process that is slow to
            // change it. An endpoint that leaves does not come back in the same process.
            entry.record.stage = EndpointStage::Draining;
        }
        let ready = entry.record.stage == EndpointStage::Ready;
        let (address, service) = former;
        if entry.record.address != address {
            let address_now = entry.record.address;
            self.remove_address(address, key);
            self.addresses.entry(address_now).or_default().push(key);
        }
        self.ready.remove(&service, key);
        self.update_indexes(key);
        match (before == EndpointStage::Ready, ready) {
            (true, false) => EndpointChange::Stopped(key),
            (false, true) => EndpointChange::Started(key),
            (true, true) if restarted => EndpointChange::Started(key),
            (true, true) => EndpointChange::Changed(key),
            (false, false) => EndpointChange::Same,
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
            expires_at: None,
            is_leaving: false,
            is_lost: false,
            undrain_warmup_until: ClockTime::ZERO,
        };
        self.addresses
            .entry(entry.record.address)
            .or_default()
            .push(key);
        self.entries.insert(key, entry);
        self.update_indexes(key);
        match ready {
            true => EndpointChange::Started(key),
            false => EndpointChange::Same,
        }
    }

    /// Records that the registry `source` has reported an endpoint lost.
    pub fn mark_lost(&mut self, source: SourceKey, name: &str, now: ClockTime) {
        let Some(&key) = self.names.get(name) else {
            return;
        };
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.holders.remove(&source);
            entry.note_unheld(now);
            entry.is_lost = entry.holders.is_empty();
        }
        self.update_indexes(key);
    }

    /// Marks an endpoint as gone because another one has responded at its address.
    pub fn mark_replaced(&mut self, key: EndpointKey, now: ClockTime) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.record.stage = EndpointStage::Gone;
            entry.unheld_since = Some(now);
        }
        self.update_indexes(key);
    }

    /// Marks an endpoint as draining because it has said in a response that it leaves; returns whether
    /// it was taken for ready.
    ///
    /// The registries may learn of it seconds later, or never.
    pub fn mark_leaving(&mut self, key: EndpointKey) -> bool {
        let Some(entry) = self.entries.get_mut(&key) else {
            return false;
        };
        entry.is_leaving = true;
        let was_ready = entry.record.stage == EndpointStage::Ready;
        if was_ready {
            entry.record.stage = EndpointStage::Draining;
        }
        self.update_indexes(key);
        was_ready
    }

    /// Marks endpoints at the record's address that started earlier as gone.
    ///
    /// A crashed endpoint comes back at its address within a second or two under a new name. Its
    /// former name is known until announcements are missed; each request sent to it in the meantime
    /// is rejected and costs its client one of few attempts.
    fn retire_predecessors(&mut self, record: &EndpointRecord, now: ClockTime) {
        let mut predecessors = Vec::new();
        for &key in self.addresses.get(&record.address).into_iter().flatten() {
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            let predecessor = &entry.record;
            let is_predecessor = predecessor.name != record.name
                && predecessor.started_ms < record.started_ms
                && predecessor.stage != EndpointStage::Gone;
            if is_predecessor {
                entry.record.stage = EndpointStage::Gone;
                entry.unheld_since = Some(now);
                predecessors.push(key);
            }
        }
        for key in predecessors {
            self.update_indexes(key);
        }
    }

    /// Treats the endpoints of an undrained domain as warming up until `until`, since they may have
    /// become cold without work and not have announced it yet.
    pub fn undrain_domain(&mut self, domain: &str, until: ClockTime) {
        let mut warming = Vec::new();
        for (&key, entry) in &mut self.entries {
            if entry.record.zone == domain {
                entry.undrain_warmup_until = until;
                warming.push(key);
            }
        }
        for key in warming {
            self.update_indexes(key);
        }
    }

    /// Returns whether an endpoint is warming up.
    pub fn is_warming(&self, key: EndpointKey, now: ClockTime) -> bool {
        let entry = self.entries.get(&key);
        entry.is_some_and(|entry| now < entry.warm_at())
    }

    /// Applies the departure of an endpoint, which the registry `source` has published.
    ///
    /// It is kept even if the endpoint is unknown here: other registries may still publish that the
    /// endpoint is ready.
    pub fn apply_departure(
        &mut self,
        source: SourceKey,
        departure: &EndpointDeparture,
        now: ClockTime,
    ) -> EndpointChange {
        let Some(&key) = self.names.get(&departure.name) else {
            return self.insert(source, EndpointRecord::departed(departure), now);
        };
        let Some(entry) = self.entries.get_mut(&key) else {
            return EndpointChange::Same;
        };
        if !entry.record.is_covered_by(departure) {
            return EndpointChange::Same;
        }
        let was_ready = entry.record.stage == EndpointStage::Ready;
        entry.record.mark_gone(departure);
        entry.unheld_since = Some(now);
        self.update_indexes(key);
        match was_ready {
            true => EndpointChange::Stopped(key),
            false => EndpointChange::Same,
        }
    }

    /// Records that the connection to the registry `source` was lost, so its reports no longer
    /// count.
    pub fn drop_source(&mut self, source: SourceKey, now: ClockTime) {
        let mut unheld = Vec::new();
        for (&key, entry) in &mut self.entries {
            if entry.holders.remove(&source) {
                entry.note_unheld(now);
                unheld.push(key);
            }
        }
        for key in unheld {
            self.update_indexes(key);
        }
    }

    /// Removes endpoints that no registry has reported for long enough; returns their keys.
    pub fn expire(&mut self, now: ClockTime) -> Vec<EndpointKey> {
        let mut expired = Vec::new();
        while let Some(&(expires_at, key)) = self.expiries.first()
            && expires_at <= now
        {
            self.expiries.pop_first();
            self.remove(key);
            expired.push(key);
        }
        expired.sort_unstable();
        expired
    }

    fn remove(&mut self, key: EndpointKey) {
        let Some(EndpointEntry {
            record, expires_at, ..
        }) = self.entries.remove(&key)
        else {
            return;
        };
        self.names.remove(&record.name);
        // Another endpoint may have the same tag.
        let tag = EndpointTag::of(&record.name);
        if self.tags.get(&tag) == Some(&key) {
            self.tags.remove(&tag);
        }
        self.remove_address(record.address, key);
        self.ready.remove(&record.service, key);
        if let Some(expires_at) = expires_at {
            self.expiries.remove(&(expires_at, key));
        }
    }

    fn remove_address(&mut self, address: SocketAddr, key: EndpointKey) {
        let Some(keys) = self.addresses.get_mut(&address) else {
            return;
        };
        keys.retain(|known| *known != key);
        if keys.is_empty() {
            self.addresses.remove(&address);
        }
    }

    /// Restores the invariants of `ready` and `expiries` for an entry that has changed.
    fn update_indexes(&mut self, key: EndpointKey) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let expires_at = entry.expiry();
        if entry.expires_at != expires_at {
            if let Some(former) = std::mem::replace(&mut entry.expires_at, expires_at) {
                self.expiries.remove(&(former, key));
            }
            self.expiries.extend(expires_at.map(|time| (time, key)));
        }
        let record = &entry.record;
        if record.stage != EndpointStage::Ready {
            self.ready.remove(&record.service, key);
            return;
        }
        let endpoint = ReadyEndpoint {
            key,
            tag: EndpointTag::of(&record.name),
            incarnation: record.incarnation(),
            domain: intern_domain(&mut self.domains, &record.zone),
            version: VersionTag::of(&record.service, &record.version),
            slots: record.slots,
            warm_at: entry.warm_at(),
        };
        self.ready.insert(&record.service, endpoint);
    }

    /// Returns the software versions of the endpoints that are not known to be gone, one for each
    /// endpoint.
    pub fn versions(&self) -> impl Iterator<Item = VersionTag> {
        let records = self.entries.values().map(|entry| &entry.record);
        let there = records.filter(|record| record.stage != EndpointStage::Gone);
        there.filter_map(|record| VersionTag::of(&record.service, &record.version))
    }

    /// Returns the endpoint with a tag.
    pub fn find(&self, tag: EndpointTag) -> Option<EndpointKey> {
        self.tags.get(&tag).copied()
    }

    /// Returns the latest record of an endpoint.
    pub fn record(&self, key: EndpointKey) -> Option<&EndpointRecord> {
        self.entries.get(&key).map(|entry| &entry.record)
    }

    /// Returns the addresses of the endpoints in a failure domain that are not known to be gone.
    pub fn addresses(&self, domain: &str) -> impl Iterator<Item = SocketAddr> {
        let records = self.entries.values().map(|entry| &entry.record);
        let there = records.filter(|record| record.stage != EndpointStage::Gone);
        let there = there.filter(move |record| record.zone == domain);
        there.map(|record| record.address)
    }

    /// Returns the number of endpoints that accept new work.
    pub fn ready_count(&self) -> usize {
        self.ready.count()
    }

    /// Returns the endpoints of a service that accept new work, in no particular order.
    pub fn ready(&self, service: &str) -> &[ReadyEndpoint] {
        self.ready.endpoints(service)
    }

    /// Returns the set of those endpoints in [`Self::ready`] that are among `keys`.
    pub fn ready_among(&self, service: &str, keys: impl Iterator<Item = EndpointKey>) -> ReadySet {
        self.ready.subset(service, keys)
    }

    /// Returns the failure domains whose name satisfies `is_member`.
    pub fn domain_set(&self, is_member: impl Fn(&str) -> bool) -> DomainSet {
        let domains = self.domains.iter();
        DomainSet::new(domains.map(|domain| is_member(domain)).collect())
    }
}

/// Returns the key of a failure domain, adding it if it is new.
fn intern_domain(domains: &mut Vec<String>, name: &str) -> DomainKey {
    let known = domains.iter().position(|domain| domain == name);
    let index = known.unwrap_or_else(|| {
        domains.push(name.to_owned());
        domains.len() - 1
    });
    DomainKey(index as u32)
}

impl EndpointEntry {
    /// Records that a registry hears from this incarnation, although its record is not newer than
    /// the known one.
    ///
    /// A registry sends nothing more while the endpoint's announcements stay the same. If it were
    /// left out of the holders, it would not count when the registry with the newer record loses
    /// the endpoint: one edge would drop all endpoints for good and reject its clients while the
    /// other edges serve theirs.
    fn add_holder(&mut self, source: SourceKey) {
        if self.record.stage == EndpointStage::Gone {
            return;
        }
        self.holders.insert(source);
        self.is_lost = false;
        self.unheld_since = None;
    }

    /// When the endpoint is warm, as announced or because its domain was undrained.
    fn warm_at(&self) -> ClockTime {
        self.warm_at.max(self.undrain_warmup_until)
    }

    /// When the entry expires; `None` while a registry reports the endpoint.
    fn expiry(&self) -> Option<ClockTime> {
        let limit = match self.record.stage {
            EndpointStage::Gone => GOODBYE_TTL,
            _ if self.is_leaving => GOODBYE_TTL,
            _ if self.is_lost => LOST_TTL,
            _ => ORPHAN_TTL,
        };
        self.unheld_since.map(|since| since.after(limit))
    }

    fn note_unheld(&mut self, now: ClockTime) {
        if self.holders.is_empty() && self.unheld_since.is_none() {
            self.unheld_since = Some(now);
        }
    }
}
