use std::{
    collections::{
        BTreeMap,
        HashMap,
        VecDeque, //
    },
    net::SocketAddr,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::PrefixLocation;

/// Locations kept for edges that start; each takes some dozen bytes on a link.
const MAX_LOCATIONS: usize = 4000;

/// Time in which a location reaches all edges.
///
/// Until then, many edges report the same location, since all rank engines for a prefix alike. An
/// edge that reports it again later has forgotten it, so others may have as well.
const PROPAGATION_TIME: Duration = Duration::from_secs(5);

/// Shortest interval between two writes of the locations to disk.
///
/// Locations change with engines that come, go or fill up, some of them every second. A sync takes
/// a disk up to 5 ms, and the write-ahead log of the configuration is delayed by no more than that.
const STORE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which the snapshot is requested from another edge if the first one has not answered.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of the first entry added at run time; stored entries of an earlier process are numbered
/// down from it.
const FIRST_ENTRY_NUMBER: u64 = 1 << 32;

/// A subscriber to a registry's locations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LocationReader {
    /// An edge whose home is the registry, by the number of its connection.
    Edge(u64),
    /// Another registry, which gets only locations that this one received from edges directly.
    Registry(SocketAddr),
}

/// Sender of reported locations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocationOrigin {
    /// An edge, which has just routed requests there; the other registries have to be informed.
    Edge,
    /// Another registry, which informs all others itself.
    Registry,
}

/// Locations to send to several readers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocationBatch {
    /// Readers to send to.
    pub readers: Vec<LocationReader>,
    /// Locations to send, the oldest first.
    pub locations: Vec<PrefixLocation>,
}

/// A registry's log of prefix locations, with the position of each reader.
///
/// Each edge reports to one registry, which forwards to the other registries, and each of them to
/// its own edges. So all edges know a prefix's engine before most of them get requests with that
/// prefix, every registry has all locations, and none sends them to the whole fleet. Each reader is
/// sent entries from its position on, at the pace of the link; a new reader starts with the oldest
/// entry.
#[derive(Debug)]
pub struct LocationLog {
    /// Entries, the oldest first.
    log: VecDeque<LocationEntry>,
    /// Number of the oldest entry.
    first: u64,
    /// When each location was last added.
    added: HashMap<PrefixLocation, ClockTime>,
    /// Number of the next entry for each reader.
    readers: BTreeMap<LocationReader, u64>,
    /// When a snapshot was last requested from an edge; `None` before the first request.
    requested_at: Option<ClockTime>,
    /// Whether an edge has sent a snapshot.
    has_snapshot: bool,
    /// Whether there are entries that were not written to disk.
    is_dirty: bool,
    next_store_at: ClockTime,
}

#[derive(Clone, Copy, Debug)]
struct LocationEntry {
    location: PrefixLocation,
    origin: LocationOrigin,
}

impl LocationLog {
    /// Creates an empty log.
    pub fn new(now: ClockTime) -> Self {
        Self {
            log: VecDeque::new(),
            first: FIRST_ENTRY_NUMBER,
            added: HashMap::new(),
            readers: BTreeMap::new(),
            requested_at: None,
            has_snapshot: false,
            is_dirty: false,
            next_store_at: now,
        }
    }

    /// Adds reported locations, except those that were added a moment ago.
    pub fn add(&mut self, locations: &[PrefixLocation], origin: LocationOrigin, now: ClockTime) {
        for &location in locations {
            let added_at = self.added.get(&location);
            if added_at.is_some_and(|added_at| now.since(*added_at) < PROPAGATION_TIME) {
                continue;
            }
            self.added.insert(location, now);
            self.log.push_back(LocationEntry { location, origin });
            self.is_dirty = true;
        }
        self.trim();
    }

    /// Returns whether a snapshot has to be requested from the edge that has just reported, and
    /// records the request.
    ///
    /// Edges report only new locations. Without a snapshot, a registry that has lost its disk would
    /// know a dozen locations of a thousand, and after a power loss of the whole fleet all other
    /// prefixes would be computed again.
    pub fn should_request_all(&mut self, now: ClockTime) -> bool {
        let is_pending = self
            .requested_at
            .is_some_and(|requested_at| now.since(requested_at) < SNAPSHOT_TIMEOUT);
        let wants = !self.has_snapshot && !is_pending;
        if wants {
            self.requested_at = Some(now);
        }
        wants
    }

    /// Adds an edge's snapshot, whose locations count as older than all entries and as known to the
    /// other edges.
    pub fn add_snapshot(&mut self, locations: Vec<PrefixLocation>, now: ClockTime) {
        self.has_snapshot = true;
        self.is_dirty |= !locations.is_empty();
        self.prepend(locations, now);
    }

    /// Adds locations stored by an earlier process, which are older than all entries.
    pub fn add_stored(&mut self, stored: Vec<PrefixLocation>, now: ClockTime) {
        self.prepend(stored, now);
        // Edges connect while the disk is read, and have not received these entries.
        for next in self.readers.values_mut() {
            *next = self.first;
        }
    }

    fn prepend(&mut self, older: Vec<PrefixLocation>, now: ClockTime) {
        let origin = LocationOrigin::Registry;
        for location in older.into_iter().rev() {
            self.log.push_front(LocationEntry { location, origin });
            self.first -= 1;
            self.added.entry(location).or_insert(now);
        }
        self.trim();
    }

    fn trim(&mut self) {
        while self.log.len() > MAX_LOCATIONS
            && let Some(oldest) = self.log.pop_front()
        {
            self.first += 1;
            self.added.remove(&oldest.location);
        }
    }

    /// Adds a reader that will be sent all entries from the oldest on.
    pub fn add_reader(&mut self, reader: LocationReader) {
        self.readers.insert(reader, self.first);
    }

    /// Removes a reader.
    pub fn drop_reader(&mut self, reader: LocationReader) {
        self.readers.remove(&reader);
    }

    /// Returns the number of readers.
    pub fn reader_count(&self) -> usize {
        self.readers.len()
    }

    /// Returns the batches to send now, with up to `most` locations for each reader, and advances
    /// the readers.
    pub fn next_batches(&mut self, most: usize) -> Vec<LocationBatch> {
        let end = self.first + self.log.len() as u64;
        let mut groups: BTreeMap<(u64, bool), Vec<LocationReader>> = BTreeMap::new();
        for (&reader, next) in &mut self.readers {
            let start = (*next).max(self.first);
            let is_registry = matches!(reader, LocationReader::Registry(_));
            *next = end.min(start + most as u64);
            if start < end {
                groups.entry((start, is_registry)).or_default().push(reader);
            }
        }
        let batches = groups.into_iter().map(|((start, is_registry), readers)| {
            let entries = self.log.iter().skip((start - self.first) as usize);
            let is_due =
                |entry: &&LocationEntry| !is_registry || entry.origin == LocationOrigin::Edge;
            let due = entries.take(most).filter(is_due);
            let locations = due.map(|entry| entry.location).collect();
            LocationBatch { readers, locations }
        });
        batches
            .filter(|batch| !batch.locations.is_empty())
            .collect()
    }

    /// Returns all locations, the newest last.
    pub fn known(&self) -> Vec<PrefixLocation> {
        self.log.iter().map(|entry| entry.location).collect()
    }

    /// Returns all locations if some were not stored and the next write is due.
    pub fn due_write(&mut self, now: ClockTime) -> Option<Vec<PrefixLocation>> {
        if !self.is_dirty || now < self.next_store_at {
            return None;
        }
        self.next_store_at = now.after(STORE_INTERVAL);
        Some(self.known())
    }

    /// Records that the locations were written to disk.
    pub fn note_stored(&mut self) {
        self.is_dirty = false;
    }
}
