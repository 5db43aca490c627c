use crate::{
    LogPosition,
    SnapshotChunk, //
};

/// A snapshot that is being received in chunks.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotAssembly {
    last: LogPosition,
    total: u64,
    /// Invariant: the chunks received so far, without a gap.
    pub(crate) bytes: Vec<u8>,
}

impl SnapshotAssembly {
    /// Creates an empty assembly for the snapshot that `chunk` belongs to.
    pub(crate) fn new(chunk: &SnapshotChunk) -> Self {
        Self {
            last: chunk.last,
            total: chunk.total,
            bytes: Vec::new(),
        }
    }

    /// Whether `chunk` belongs to the same snapshot.
    pub(crate) fn matches(&self, chunk: &SnapshotChunk) -> bool {
        self.last == chunk.last && self.total == chunk.total
    }

    /// Appends a chunk if it is the next one.
    pub(crate) fn add(&mut self, chunk: &SnapshotChunk) {
        let end = self.bytes.len() as u64 + chunk.bytes.len() as u64;
        if chunk.offset == self.bytes.len() as u64 && end <= self.total {
            self.bytes.extend_from_slice(&chunk.bytes);
        }
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.bytes.len() as u64 == self.total
    }
}
