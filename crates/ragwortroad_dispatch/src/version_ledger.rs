use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::{
    KnownVersion,
    STREAM_MEMORY,
    ServiceTag,
    VersionTag,
    service_versions::ServiceVersions, //
};

/// Time for which a registry remembers a version after it last heard of it.
///
/// Registries tell each other of versions every [`VERSION_SHARE_INTERVAL`], so a registry may have
/// heard of one that much earlier than its last stream began.
pub const VERSION_MEMORY: Duration = Duration::from_secs(120);

/// Time between two messages by which a registry tells the others of all versions.
pub const VERSION_SHARE_INTERVAL: Duration = Duration::from_secs(20);

const _: () = assert!(
    VERSION_MEMORY.as_secs() >= STREAM_MEMORY.as_secs() + 2 * VERSION_SHARE_INTERVAL.as_secs()
);

/// The software versions that a registry remembers, and what of them its disk holds.
///
/// After a start without the file of an earlier process, the ledger is incomplete until a majority of
/// the voters has told all that it knows, or no stream from before the start can come back any more.
/// The answers of an incomplete ledger prove nothing about versions that they lack.
#[derive(Debug)]
pub struct VersionLedger {
    versions: ServiceVersions,
    /// What the disk holds for certain; `None` before the first save.
    saved: Option<LedgerContent>,
    /// What is being written, or was when a write failed. The disk holds this or `saved`.
    unconfirmed: Option<LedgerContent>,
    is_writing: bool,
    /// Whether the file has been read. Nothing is written before.
    is_loaded: bool,
    is_complete: bool,
    /// Voters that have told this registry all that they know, while it is incomplete.
    informants: BTreeSet<SocketAddr>,
    started_at: ClockTime,
}

/// What the file of a ledger holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerContent {
    /// The versions. Their ages are left out: while all processes are down nobody counts the time,
    /// and the time of day may step back, so a version counts as just seen when it is loaded.
    pub versions: BTreeSet<VersionTag>,
    /// Whether these are all versions that the registry ever had to keep.
    pub is_complete: bool,
}

impl VersionLedger {
    /// Creates the ledger of a process that has started at `started_at`.
    pub fn new(started_at: ClockTime) -> Self {
        Self {
            versions: ServiceVersions::with_memory(VERSION_MEMORY),
            saved: None,
            unconfirmed: None,
            is_writing: false,
            is_loaded: false,
            is_complete: false,
            informants: BTreeSet::new(),
            started_at,
        }
    }

    /// Takes over what an earlier process has saved. Without it, `is_first_start` tells whether there
    /// was no earlier process in the whole fleet.
    pub fn load(&mut self, content: Option<LedgerContent>, is_first_start: bool, now: ClockTime) {
        self.is_loaded = true;
        self.is_complete |= content
            .as_ref()
            .map_or(is_first_start, |content| content.is_complete);
        for version in content.iter().flat_map(|content| &content.versions) {
            self.versions.note_seen(*version, now);
        }
        self.saved = content;
    }

    /// Records that an endpoint runs a version, or that a stream has begun at it; returns whether
    /// the version was unknown.
    pub fn note(&mut self, version: VersionTag, now: ClockTime) -> bool {
        self.versions.note_seen(version, now)
    }

    /// Records what another registry tells; returns the versions that were unknown.
    pub fn add_known(&mut self, known: &[KnownVersion], now: ClockTime) -> Vec<VersionTag> {
        let mut unknown = Vec::new();
        for known in known {
            let age = Duration::from_millis(known.age_ms.into());
            let seen_at = now.before(age);
            if age < VERSION_MEMORY && self.versions.note_seen(known.version, seen_at) {
                unknown.push(known.version);
            }
        }
        unknown
    }

    /// Records that a voter has told all that it knows, and knows all that it had to keep. A majority
    /// of `voters` that does so makes this ledger complete.
    pub fn add_informant(&mut self, registry: SocketAddr, voters: u32) {
        if self.is_complete {
            return;
        }
        self.informants.insert(registry);
        self.is_complete = voters > 0 && self.informants.len() > voters as usize / 2;
    }

    /// Returns all versions with the time since each was seen.
    pub fn known(&self, now: ClockTime) -> impl Iterator<Item = KnownVersion> {
        self.versions.known(now)
    }

    /// Returns the versions of a service.
    pub fn versions(&self, service: ServiceTag) -> impl Iterator<Item = VersionTag> {
        self.versions.versions(service)
    }

    /// Whether this registry knows all versions that it ever had to keep and that may have begun a
    /// stream which comes back.
    pub fn is_complete(&self) -> bool {
        self.is_loaded && self.is_complete
    }

    /// Returns the versions that the disk holds whatever happens.
    pub fn kept(&self) -> BTreeSet<VersionTag> {
        let saved = self.saved.iter().flat_map(|saved| &saved.versions);
        let is_kept = |version: &VersionTag| {
            let unconfirmed = self.unconfirmed.as_ref();
            unconfirmed.is_none_or(|content| content.versions.contains(version))
        };
        let known: BTreeSet<VersionTag> = self.versions.all().collect();
        let kept = saved.copied().filter(is_kept);
        kept.filter(|version| known.contains(version)).collect()
    }

    /// Returns what has to be written now, if anything; the caller reports the result to
    /// [`finish_save`](Self::finish_save).
    pub fn next_save(&mut self) -> Option<LedgerContent> {
        let current = LedgerContent {
            versions: self.versions.all().collect(),
            is_complete: self.is_complete,
        };
        let is_saved = self.unconfirmed.is_none() && self.saved.as_ref() == Some(&current);
        if !self.is_loaded || self.is_writing || is_saved {
            return None;
        }
        self.is_writing = true;
        self.unconfirmed = Some(current.clone());
        Some(current)
    }

    /// Records whether the last write has succeeded.
    pub fn finish_save(&mut self, is_saved: bool) {
        self.is_writing = false;
        if is_saved {
            self.saved = self.unconfirmed.take();
        }
    }

    /// Removes versions that were last seen too long ago.
    pub fn expire(&mut self, now: ClockTime) {
        self.versions.expire(now);
        // No stream from before the start can come back any more.
        self.is_complete |= self.is_loaded && now.since(self.started_at) >= VERSION_MEMORY;
    }
}
