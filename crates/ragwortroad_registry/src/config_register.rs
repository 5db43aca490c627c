use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};

/// The replicated state: the configuration with the highest version.
///
/// Invariant: the version never goes down, and the first document of a version stays its only one,
/// since commands are applied in the same order everywhere.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRegister {
    version: u64,
    packed: Arc<Vec<u8>>,
    /// Whether any document has been accepted; a version may be 0.
    is_set: bool,
}

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegisterCommand {
    /// Takes a configuration, unless its version is not above the one held.
    Put {
        /// Its version.
        version: u64,
        /// The document, compressed.
        packed: Vec<u8>,
    },
}

impl ConfigRegister {
    /// Applies a command; tells whether the configuration in force has changed.
    pub fn apply(&mut self, command: RegisterCommand) -> bool {
        let RegisterCommand::Put { version, packed } = command;
        if self.covers(version) {
            return false;
        }
        self.version = version;
        self.packed = Arc::new(packed);
        self.is_set = true;
        true
    }

    /// Whether a declaration of `version` would change nothing any more.
    pub fn covers(&self, version: u64) -> bool {
        self.is_set && version <= self.version
    }

    /// The version in force, if any.
    pub fn version(&self) -> Option<u64> {
        self.is_set.then_some(self.version)
    }

    /// The compressed document in force.
    pub fn packed(&self) -> Option<Arc<Vec<u8>>> {
        self.is_set.then(|| Arc::clone(&self.packed))
    }
}
