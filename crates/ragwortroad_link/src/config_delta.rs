use std::io;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::unpack_document;

/// A configuration document in transit: compressed against an earlier version, or in full.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Version of the configuration that results from this step.
    pub version: u64,
    /// Version of the document it was compressed against; `None` if it contains the full document.
    pub base: Option<u64>,
    /// The compressed document.
    pub packed: Vec<u8>,
}

impl ConfigDelta {
    /// Decompresses the document. `base` is the document of version [`base`](Self::base).
    pub fn unpack(&self, base: Option<&[u8]>) -> io::Result<Vec<u8>> {
        unpack_document(&self.packed, base)
    }
}
