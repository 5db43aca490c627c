//! Keeps the software versions that streams may begin at, on disk and at the other registries.
//!
//! A registry that hears of a version tells the others at once, and each tells its edges when the
//! version is on its disk. While the versions of a fleet stay the same, nothing is written.

use std::collections::BTreeSet;

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    registry_event::LinkKey,
    registry_state::RegistryState,
    version_report::VersionReport, //
};

impl RegistryState {
    /// Records that endpoints run versions, or that streams have begun at them.
    pub(crate) fn note_versions(
        &mut self,
        versions: impl IntoIterator<Item = VersionTag>,
        now: ClockTime,
    ) {
        let mut unknown = Vec::new();
        for version in versions {
            if self.versions.note(version, now) {
                unknown.push(KnownVersion { version, age_ms: 0 });
            }
        }
        if unknown.is_empty() {
            return;
        }
        tracing::info!(versions = ?unknown, "heard of software versions");
        self.broadcast_to_peers(&LinkMessage::KnownVersions {
            known: unknown,
            is_complete: false,
        });
        self.save_versions();
    }

    /// Records what another registry knows.
    pub(crate) fn add_known_versions(
        &mut self,
        link: LinkKey,
        known: &[KnownVersion],
        is_complete: bool,
        now: ClockTime,
    ) {
        let unknown = self.versions.add_known(known, now);
        if !unknown.is_empty() {
            tracing::info!(versions = ?unknown, "another registry told of software versions");
        }
        if let Some(&peer) = self.peer_links.get(&link).filter(|_| is_complete) {
            self.versions.add_informant(peer, self.voter_count());
        }
        self.save_versions();
    }

    pub(crate) fn handle_version_report(&mut self, report: VersionReport, now: ClockTime) {
        match report {
            VersionReport::Loaded { content, has_file } => {
                let is_first_start = self.settings.first_start && !has_file;
                self.versions.load(content, is_first_start, now);
                let is_complete = self.versions.is_complete();
                tracing::info!(has_file, is_complete, "loaded software versions from disk");
                self.broadcast_to_peers(&self.known_versions_message(now));
            }
            VersionReport::Written { is_saved } => self.versions.finish_save(is_saved),
        }
        self.save_versions();
        self.broadcast_kept_versions();
    }

    /// Forgets versions whose streams cannot come back any more, and repeats what others may lack.
    pub(crate) fn expire_versions(&mut self, now: ClockTime) {
        self.versions.expire(now);
        self.save_versions();
        self.broadcast_kept_versions();
        let is_complete = self.versions.is_complete() && self.is_voter();
        let is_news = is_complete && !self.was_complete;
        self.was_complete = is_complete;
        if is_news || now >= self.next_version_share_at {
            self.next_version_share_at = now.after(VERSION_SHARE_INTERVAL);
            self.broadcast_to_peers(&self.known_versions_message(now));
        }
    }

    fn save_versions(&mut self) {
        if let Some(content) = self.versions.next_save() {
            self.stores.versions.save(content);
        }
    }

    /// Tells edges which versions this registry keeps if that has changed.
    fn broadcast_kept_versions(&mut self) {
        let kept = self.counted_versions();
        if kept == self.sent_kept {
            return;
        }
        tracing::info!(count = kept.len(), "kept software versions changed");
        let message = LinkMessage::VersionsKept(kept.iter().copied().collect());
        self.broadcast_to_edges(&message);
        self.sent_kept = kept;
    }

    /// The versions that this registry keeps, as far as that counts in a majority.
    pub(crate) fn counted_versions(&self) -> BTreeSet<VersionTag> {
        match self.is_voter() {
            true => self.versions.kept(),
            false => BTreeSet::new(),
        }
    }

    /// Message to another registry with all versions that are known here.
    pub(crate) fn known_versions_message(&self, now: ClockTime) -> LinkMessage {
        LinkMessage::KnownVersions {
            known: self.versions.known(now).collect(),
            is_complete: self.versions.is_complete() && self.is_voter(),
        }
    }

    /// Whether this registry votes in the group.
    pub(crate) fn is_voter(&self) -> bool {
        let core = self.driver.core();
        core.is_some_and(|core| core.members().is_voter(core.id()))
    }
}
