use std::{
    io,
    sync::Arc, //
};

use ragwortroad_link::prelude::*;

/// The replicated configuration: the one with the highest version.
///
/// Invariant: the version never goes down, and the first document of a version stays its only one,
/// since commands are applied in the same order everywhere.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigRegister {
    held: Option<HeldConfig>,
    /// The document in force, packed full_delta, once it was asked for.
    full_delta: Option<ConfigDelta>,
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
struct HeldConfig {
    version: u64,
    document: Arc<Vec<u8>>,
}

/// What a delta has led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegisterChange {
    /// Another configuration is in force.
    Changed,
    /// Its version is not above the one held.
    Superseded,
    /// It was made against a configuration that is not the one held; it has to be made anew.
    BaseMismatch,
    /// The bytes are no document; all members skip it alike.
    Unreadable {
        /// What the codec said.
        reason: String,
    },
}

impl ConfigRegister {
    /// Applies a delta.
    pub fn apply(&mut self, delta: &ConfigDelta) -> RegisterChange {
        if self.supersedes(delta.version) {
            return RegisterChange::Superseded;
        }
        if delta.base.is_some() && delta.base != self.version() {
            return RegisterChange::BaseMismatch;
        }
        let base = delta.base.and_then(|_| self.document());
        match delta.open(base.as_deref().map(Vec::as_slice)) {
            Ok(document) => {
                self.held = Some(HeldConfig {
                    version: delta.version,
                    document: Arc::new(document),
                });
                self.full_delta = None;
                RegisterChange::Changed
            }
            Err(error) => RegisterChange::Unreadable {
                reason: error.to_string(),
            },
        }
    }

    /// Whether a declaration of `version` would change nothing any more.
    pub fn supersedes(&self, version: u64) -> bool {
        self.version().is_some_and(|held| version <= held)
    }

    /// The version in force, if any.
    pub fn version(&self) -> Option<u64> {
        self.held.as_ref().map(|held| held.version)
    }

    /// The document in force.
    pub fn document(&self) -> Option<Arc<Vec<u8>>> {
        self.held.as_ref().map(|held| Arc::clone(&held.document))
    }

    /// The delta that leads from the configuration in force to `document`.
    pub fn delta_to(&self, version: u64, document: &[u8]) -> io::Result<ConfigDelta> {
        let base = self.document();
        let packed = pack_document(document, base.as_deref().map(Vec::as_slice))?;
        Ok(ConfigDelta {
            version,
            base: self.version(),
            packed,
        })
    }

    /// The delta that leads from nothing to the configuration in force.
    ///
    /// It is packed once for all that ask: after a restart all edges do, and each time takes a
    /// registry some twenty milliseconds.
    pub fn full_delta(&mut self) -> io::Result<Option<ConfigDelta>> {
        let Some(held) = &self.held else {
            return Ok(None);
        };
        if self.full_delta.is_none() {
            self.full_delta = Some(ConfigDelta {
                version: held.version,
                base: None,
                packed: pack_document(&held.document, None)?,
            });
        }
        Ok(self.full_delta.clone())
    }
}
