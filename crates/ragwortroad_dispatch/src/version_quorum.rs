use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::{
    ServiceTag,
    SourceKey,
    VersionTag,
    VoterSettings, //
};

/// Which registries keep which software versions on disk, as an edge knows it.
///
/// A stream that may be taken up again begins only at a version that a majority of the voting
/// registries keeps. Whatever stops afterwards, a majority that is asked for the versions of the
/// service then contains a registry that knows this one.
///
/// Registries that do not vote yet count as if they did: a majority of a young group is no majority
/// of the group that it grows to.
#[derive(Debug, Default)]
pub struct VersionQuorum {
    /// What each registry said last. It holds while the registry is unreachable: what is on a disk
    /// does not end with a connection.
    kept: BTreeMap<SourceKey, BTreeSet<VersionTag>>,
    /// Number of voters that the group of each registry has or grows to, as it said last; never 0.
    voters: BTreeMap<SourceKey, u32>,
}

impl VersionQuorum {
    /// Records the versions that a registry keeps; they replace what it said before.
    pub fn set_kept(&mut self, source: SourceKey, versions: impl IntoIterator<Item = VersionTag>) {
        self.kept.insert(source, versions.into_iter().collect());
    }

    /// Records the number of voters that a registry knows, 0 if it has not joined the group yet, and
    /// the number of registries that it knows, which may become voters.
    pub fn set_voters(&mut self, source: SourceKey, voters: u32, registries: u32) {
        if voters > 0 {
            let voters = voters.max(largest_group(registries));
            self.voters.insert(source, voters);
        }
    }

    /// Number of registries that vote or may soon do; 0 before any registry has told.
    pub fn voters(&self) -> u32 {
        self.voters.values().copied().max().unwrap_or(0)
    }

    /// Returns the versions of a service that any registry keeps.
    pub fn versions(&self, service: ServiceTag) -> BTreeSet<VersionTag> {
        let kept = self.kept.values().flatten().copied();
        kept.filter(|version| version.service == service).collect()
    }

    /// Returns all versions that any registry keeps.
    pub fn all(&self) -> impl Iterator<Item = VersionTag> {
        self.kept.values().flatten().copied()
    }

    /// Returns the versions of a service at which a stream may begin.
    pub fn kept_versions(&self, service: ServiceTag) -> Vec<VersionTag> {
        let versions = self.versions(service).into_iter();
        versions.filter(|version| self.is_kept(*version)).collect()
    }

    fn is_kept(&self, version: VersionTag) -> bool {
        let voters = self.voters();
        let keepers = self.kept.values().filter(|kept| kept.contains(&version));
        voters > 0 && keepers.count() > voters as usize / 2
    }
}

/// Number of voters that a group of this many registries grows to.
fn largest_group(registries: u32) -> u32 {
    let most = registries.min(VoterSettings::default().max_voters as u32);
    // The number of voters stays odd.
    most.saturating_sub(1) / 2 * 2 + 1
}
