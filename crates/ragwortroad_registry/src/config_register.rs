use std::{
    io,
    sync::Arc, //
};

use ragwortroad_link::prelude::*;

/// The replicated configuration register, which holds the document with the highest version.
///
/// Invariant: the version never decreases, and the first document applied for a version is never
/// replaced by another of the same version, because every member applies commands in the same
/// order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigRegister {
    held: Option<HeldConfig>,
    /// Cached full delta of the document in force; absent until first requested.
    full_delta: Option<ConfigDelta>,
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
struct HeldConfig {
    version: u64,
    document: Arc<Vec<u8>>,
}

/// Result of applying a delta.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegisterChange {
    /// The delta's configuration is now in force.
    Changed,
    /// The delta's version is not above the version in force.
    Covered,
    /// The delta's base is not the version in force, so the delta must be recomputed.
    OtherBase,
    /// The delta does not decode to a document. Every member skips it alike.
    Unreadable {
        /// Error reported by the codec.
        reason: String,
    },
}

impl ConfigRegister {
    /// Applies `delta` if its version is above the one in force and its base matches; a delta
    /// without a base replaces the whole document.
    pub fn apply(&mut self, delta: &ConfigDelta) -> RegisterChange {
        if self.supersedes(delta.version) {
            return RegisterChange::Covered;
        }
        if delta.base.is_some() && delta.base != self.version() {
            return RegisterChange::OtherBase;
        }
        let base = delta.base.and_then(|_| self.document());
        match delta.unpack(base.as_deref().map(Vec::as_slice)) {
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

    /// Whether the version in force is at least `version`, so that putting `version` has no effect.
    pub fn supersedes(&self, version: u64) -> bool {
        self.version().is_some_and(|held| version <= held)
    }

    /// The version in force; absent before the first configuration.
    pub fn version(&self) -> Option<u64> {
        self.held.as_ref().map(|held| held.version)
    }

    /// The document in force; absent before the first configuration.
    pub fn document(&self) -> Option<Arc<Vec<u8>>> {
        self.held.as_ref().map(|held| Arc::clone(&held.document))
    }

    /// Computes the delta from the configuration in force to `document`.
    ///
    /// # Errors
    ///
    /// The document cannot be compressed.
    pub fn delta_to(&self, version: u64, document: &[u8]) -> io::Result<ConfigDelta> {
        let base = self.document();
        let packed = pack_document(document, base.as_deref().map(Vec::as_slice))?;
        Ok(ConfigDelta {
            version,
            base: self.version(),
            packed,
        })
    }

    /// The delta that yields the configuration in force without a base; absent before the first
    /// configuration.
    ///
    /// The packed document is cached because all edges request it after a restart, and packing
    /// takes a registry about 20 ms.
    ///
    /// # Errors
    ///
    /// The document cannot be compressed.
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
