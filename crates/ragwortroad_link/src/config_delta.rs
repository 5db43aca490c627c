use std::io;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::unpack_document;

/// A configuration as it goes between processes: against the one before it, or whole.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Its version.
    pub version: u64,
    /// Version of the document it was compressed against; nothing where it is whole.
    pub base: Option<u64>,
    /// The document, compressed.
    pub packed: Vec<u8>,
}

impl ConfigDelta {
    /// The document, given the one of the base's version.
    pub fn unpack(&self, base: Option<&[u8]>) -> io::Result<Vec<u8>> {
        unpack_document(&self.packed, base)
    }
}
