use crate::{
    LogPosition,
    SnapshotChunk, //
};

/// A snapshot that is coming in piece by piece.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotAssembly {
    last: LogPosition,
    total: u64,
    /// Invariant: the pieces so far, without a gap.
    pub(crate) bytes: Vec<u8>,
}

impl SnapshotAssembly {
    /// An empty one for the snapshot that `chunk` is of.
    pub(crate) fn new(chunk: &SnapshotChunk) -> Self {
        Self {
            last: chunk.last,
            total: chunk.total,
            bytes: Vec::new(),
        }
    }

    /// Whether `chunk` is of the same snapshot.
    pub(crate) fn matches(&self, chunk: &SnapshotChunk) -> bool {
        self.last == chunk.last && self.total == chunk.total
    }

    /// Adds a piece, if it is the next one.
    pub(crate) fn add(&mut self, chunk: &SnapshotChunk) {
        let end = self.bytes.len() as u64 + chunk.bytes.len() as u64;
        if chunk.offset == self.bytes.len() as u64 && end <= self.total {
            self.bytes.extend_from_slice(&chunk.bytes);
        }
    }

    /// Whether all pieces are there.
    pub(crate) fn is_complete(&self) -> bool {
        self.bytes.len() as u64 == self.total
    }
}
