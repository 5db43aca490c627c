use std::{
    collections::BTreeMap,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::{
    KnownVersion,
    STREAM_MEMORY,
    ServiceTag,
    VersionTag, //
};

/// Software versions that the endpoints of each service have run recently, by default within
/// [`STREAM_MEMORY`].
///
/// A stream that begins may come back at any time within it, so while only one version was there,
/// that version began it.
#[derive(Debug)]
pub struct ServiceVersions {
    /// When each version was last seen.
    seen: BTreeMap<VersionTag, ClockTime>,
    /// Time after which a version that is no longer seen is forgotten.
    memory: Duration,
}

impl Default for ServiceVersions {
    fn default() -> Self {
        Self::with_memory(STREAM_MEMORY)
    }
}

impl ServiceVersions {
    /// Creates an empty set that remembers versions for `memory` after they were last seen.
    pub fn with_memory(memory: Duration) -> Self {
        Self {
            seen: BTreeMap::new(),
            memory,
        }
    }

    /// Records that an endpoint runs a version; returns whether it is a further version of a service
    /// that had others.
    pub fn note(&mut self, version: VersionTag, now: ClockTime) -> bool {
        let is_new = self.note_seen(version, now);
        is_new && self.count(version.service) > 1
    }

    /// Records that a version was seen at `seen_at`; returns whether it was unknown.
    pub fn note_seen(&mut self, version: VersionTag, seen_at: ClockTime) -> bool {
        let known = self.seen.get_mut(&version);
        let is_new = known.is_none();
        match known {
            Some(known_at) => *known_at = seen_at.max(*known_at),
            None => {
                self.seen.insert(version, seen_at);
            }
        }
        is_new
    }

    /// Returns all versions with the time since each was seen.
    pub fn known(&self, now: ClockTime) -> impl Iterator<Item = KnownVersion> {
        let seen = self.seen.iter();
        seen.map(move |(&version, seen_at)| KnownVersion {
            version,
            age_ms: now.since(*seen_at).as_millis() as u32,
        })
    }

    /// Returns all versions.
    pub fn all(&self) -> impl Iterator<Item = VersionTag> {
        self.seen.keys().copied()
    }

    /// Returns the versions of a service.
    pub fn versions(&self, service: ServiceTag) -> impl Iterator<Item = VersionTag> {
        let first = VersionTag {
            service,
            version: 0,
        };
        let last = VersionTag {
            service,
            version: u32::MAX,
        };
        self.seen.range(first..=last).map(|(version, _)| *version)
    }

    /// Returns whether endpoints of several versions of a service may have begun streams.
    pub fn has_several(&self, service: ServiceTag) -> bool {
        self.count(service) > 1
    }

    /// Returns all versions of the services that have several.
    pub fn all_mixed(&self) -> Vec<VersionTag> {
        let versions = self.all();
        versions
            .filter(|version| self.has_several(version.service))
            .collect()
    }

    /// Removes versions that were last seen too long ago.
    pub fn expire(&mut self, now: ClockTime) {
        self.seen
            .retain(|_, seen_at| now.since(*seen_at) < self.memory);
    }

    fn count(&self, service: ServiceTag) -> usize {
        self.versions(service).count()
    }
}
