use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    SourceKey,
    StreamOrigin,
    VersionTag, //
};

/// What one registry knows of a stream that a client wants to take up again.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OriginAnswer {
    /// Which version began the stream; `None` if the registry has not heard of it.
    pub origin: Option<StreamOrigin>,
    /// Versions that endpoints of the service have run recently.
    pub versions: Vec<VersionTag>,
    /// Whether the registry counts in majorities and knows all versions that it ever had to keep and
    /// that may have begun a stream which comes back.
    pub is_complete: bool,
}

/// Search for the software version that began a stream, among what the registries know.
#[derive(Debug, Default)]
pub struct OriginLookup {
    answers: BTreeMap<SourceKey, OriginAnswer>,
}

/// State of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginFinding {
    /// The stream began at this version.
    Version(VersionTag),
    /// The stream's id stands for several versions.
    Ambiguous,
    /// Nothing is known yet.
    Open,
}

impl OriginLookup {
    /// Adds the answer of a registry; a later one replaces it.
    pub fn add(&mut self, source: SourceKey, answer: OriginAnswer) {
        self.answers.insert(source, answer);
    }

    /// Number of registries that have answered.
    pub fn answer_count(&self) -> usize {
        self.answers.len()
    }

    /// Returns what the records of the stream say.
    pub fn recorded(&self) -> OriginFinding {
        let origins = self.answers.values().filter_map(|answer| answer.origin);
        let versions: BTreeSet<_> = origins.map(|origin| origin.version).collect();
        let mut versions = versions.into_iter();
        match (versions.next(), versions.next()) {
            (None, _) => OriginFinding::Open,
            (Some(Some(version)), None) => OriginFinding::Version(version),
            (Some(_), _) => OriginFinding::Ambiguous,
        }
    }

    /// Number of registries that have answered, and know all versions that they had to keep.
    pub fn complete_count(&self) -> usize {
        let answers = self.answers.values();
        answers.filter(|answer| answer.is_complete).count()
    }

    /// Returns the only version that began any stream of the service recently; `None` if there are
    /// several, or if less than a majority of `voters` has answered completely.
    ///
    /// No stream is recorded while there is one version. A stream begins at a version only once a
    /// majority keeps it on disk (see [`VersionQuorum`](crate::VersionQuorum)), so any other
    /// majority contains a registry that knows of it, or has lost its disk and says so.
    pub fn only_version(
        &self,
        own: impl Iterator<Item = VersionTag>,
        voters: u32,
    ) -> Option<VersionTag> {
        let majority = voters as usize / 2 + 1;
        if voters == 0 || self.complete_count() < majority {
            return None;
        }
        let told = self.answers.values().flat_map(|answer| &answer.versions);
        let versions: BTreeSet<_> = told.copied().chain(own).collect();
        let mut versions = versions.into_iter();
        versions.next().filter(|_| versions.next().is_none())
    }
}
