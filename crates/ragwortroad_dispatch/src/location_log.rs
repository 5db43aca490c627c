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

/// Places remembered for edges that start; each takes some dozen bytes on a link.
const MAX_PLACES: usize = 4000;

/// Time in which a place that was heard of reaches all edges.
///
/// Until then many of them place the same text at the same engine, since all rank engines alike.
/// An edge that tells it again later has forgotten it, so others may have too.
const SPREAD_TIME: Duration = Duration::from_secs(5);

/// Time between two times at which places are put on the disk.
///
/// They change with engines that come, go or fill up, some in a second. A sync takes a disk up to
/// 5 ms, and the log of the configuration waits for none of them longer than that.
const KEEP_EVERY: Duration = Duration::from_secs(1);

/// Time after which another edge is asked for all that it knows, if the first one did not answer.
const ASK_AGAIN: Duration = Duration::from_secs(5);

/// Number of the first place noted; what an earlier process has kept is numbered down from it.
const FIRST_NUMBER: u64 = 1 << 32;

/// Who is told places by a registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LocationReader {
    /// An edge that takes the registry for its home, by the number of its connection.
    Edge(u64),
    /// Another registry, which is told only what this one heard from edges itself.
    Registry(SocketAddr),
}

/// Who told a registry of places.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocationOrigin {
    /// An edge, which has just placed them; the other registries are still to be told.
    Edge,
    /// Another registry, which tells all others itself.
    Registry,
}

/// Places that several readers are to be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocationBatch {
    /// Who.
    pub readers: Vec<LocationReader>,
    /// What.
    pub locations: Vec<PrefixLocation>,
}

/// Where edges have placed texts, as one registry knows it, and whom it has told how much.
///
/// Edges tell one registry each, which tells the other registries, and each of them its own edges. So
/// all edges know a text's engine before most of them meet the text, every registry keeps all
/// places, and none sends them to the whole fleet. Each reader is told at the pace of the link
/// from where it has got to; one that is new starts with the oldest.
#[derive(Debug)]
pub struct LocationLog {
    /// The newest last.
    log: VecDeque<LocationEntry>,
    /// Number of the first entry of the log.
    first: u64,
    /// When each place was put into the log last.
    noted: HashMap<PrefixLocation, ClockTime>,
    /// Number of the entry that each reader is told next.
    readers: BTreeMap<LocationReader, u64>,
    /// When some edge was asked for all that it knows; nothing before.
    asked_at: Option<ClockTime>,
    /// Whether an edge has answered that.
    is_whole: bool,
    /// Whether the disk lacks something of what is known.
    is_unkept: bool,
    keep_at: ClockTime,
}

#[derive(Clone, Copy, Debug)]
struct LocationEntry {
    place: PrefixLocation,
    origin: LocationOrigin,
}

impl LocationLog {
    /// A board on which nothing is known.
    pub fn new(now: ClockTime) -> Self {
        Self {
            log: VecDeque::new(),
            first: FIRST_NUMBER,
            noted: HashMap::new(),
            readers: BTreeMap::new(),
            asked_at: None,
            is_whole: false,
            is_unkept: false,
            keep_at: now,
        }
    }

    /// Takes where texts were placed; what was told a moment ago is not told again.
    pub fn add(&mut self, placed: &[PrefixLocation], origin: LocationOrigin, now: ClockTime) {
        for &place in placed {
            let noted_at = self.noted.get(&place);
            if noted_at.is_some_and(|noted_at| now.since(*noted_at) < SPREAD_TIME) {
                continue;
            }
            self.noted.insert(place, now);
            self.log.push_back(LocationEntry { place, origin });
            self.is_unkept = true;
        }
        self.trim();
    }

    /// Whether the edge that has just told something is to be asked for all that it knows.
    ///
    /// Edges tell only what is new. A registry that has lost its disk would keep a dozen places of a
    /// thousand; after a common loss of power its edges would have all other texts read anew.
    pub fn should_request_all(&mut self, now: ClockTime) -> bool {
        let is_awaited = self
            .asked_at
            .is_some_and(|asked_at| now.since(asked_at) < ASK_AGAIN);
        let wants = !self.is_whole && !is_awaited;
        if wants {
            self.asked_at = Some(now);
        }
        wants
    }

    /// Takes all that an edge knows: older than what was heard since, and known to the other edges.
    pub fn add_snapshot(&mut self, places: Vec<PrefixLocation>, now: ClockTime) {
        self.is_whole = true;
        self.is_unkept |= !places.is_empty();
        self.put_before(places, now);
    }

    /// Takes what an earlier process has kept: older than all that was heard since.
    pub fn add_stored(&mut self, found: Vec<PrefixLocation>, now: ClockTime) {
        self.put_before(found, now);
        // Edges connect while the disk is read, and have been told nothing of this.
        for next in self.readers.values_mut() {
            *next = self.first;
        }
    }

    fn put_before(&mut self, older: Vec<PrefixLocation>, now: ClockTime) {
        let origin = LocationOrigin::Registry;
        for place in older.into_iter().rev() {
            self.log.push_front(LocationEntry { place, origin });
            self.first -= 1;
            self.noted.entry(place).or_insert(now);
        }
        self.trim();
    }

    fn trim(&mut self) {
        while self.log.len() > MAX_PLACES
            && let Some(oldest) = self.log.pop_front()
        {
            self.first += 1;
            self.noted.remove(&oldest.place);
        }
    }

    /// Adds someone who is told all places from now on, the known ones first.
    pub fn add_reader(&mut self, reader: LocationReader) {
        self.readers.insert(reader, self.first);
    }

    /// Tells someone nothing more.
    pub fn drop_reader(&mut self, reader: LocationReader) {
        self.readers.remove(&reader);
    }

    /// Number of those who are told.
    pub fn reader_count(&self) -> usize {
        self.readers.len()
    }

    /// What is to be told now, up to `most` places to each reader, and notes that it was.
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
            let locations = due.map(|entry| entry.place).collect();
            LocationBatch { readers, locations }
        });
        batches
            .filter(|batch| !batch.locations.is_empty())
            .collect()
    }

    /// All that is known, the newest last.
    pub fn known(&self) -> Vec<PrefixLocation> {
        self.log.iter().map(|entry| entry.place).collect()
    }

    /// All of it, where the disk lacks some and it is time.
    pub fn due_write(&mut self, now: ClockTime) -> Option<Vec<PrefixLocation>> {
        if !self.is_unkept || now < self.keep_at {
            return None;
        }
        self.keep_at = now.after(KEEP_EVERY);
        Some(self.known())
    }

    /// The disk has taken what was due.
    pub fn note_stored(&mut self) {
        self.is_unkept = false;
    }
}
