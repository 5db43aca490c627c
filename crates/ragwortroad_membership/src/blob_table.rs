use std::collections::BTreeMap;

use ragwortroad_types::prelude::*;

/// What a node attached, of one kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct BlobEntry {
    /// The node's incarnation and a count within it; the higher pair is newer.
    pub(crate) version: (u64, u64),
    /// The content.
    pub(crate) bytes: Vec<u8>,
}

/// The latest blob of each node and kind.
#[derive(Debug, Default)]
pub(crate) struct BlobTable {
    /// Ordered, so that a run can be replayed.
    blobs: BTreeMap<(NodeId, u8), BlobEntry>,
}

impl BlobTable {
    /// The blob of `node` of this kind.
    pub(crate) fn get(&self, node: NodeId, kind: u8) -> Option<&BlobEntry> {
        self.blobs.get(&(node, kind))
    }

    /// Takes `entry` if it is newer; whether it was.
    pub(crate) fn put(&mut self, node: NodeId, kind: u8, entry: BlobEntry) -> bool {
        let known = self.blobs.entry((node, kind)).or_default();
        if entry.version <= known.version {
            return false;
        }
        *known = entry;
        true
    }

    /// Drops all blobs of `node`.
    pub(crate) fn remove_node(&mut self, node: NodeId) {
        self.blobs.retain(|(owner, _), _| *owner != node);
    }

    /// The kinds of blobs that `node` attached.
    pub(crate) fn kinds(&self, node: NodeId) -> Vec<u8> {
        self.blobs
            .range((node, 0)..=(node, u8::MAX))
            .map(|((_, kind), _)| *kind)
            .collect()
    }

    /// All blobs of one kind.
    pub(crate) fn of_kind(&self, kind: u8) -> impl Iterator<Item = (NodeId, &[u8])> {
        self.blobs
            .iter()
            .filter(move |((_, known), _)| *known == kind)
            .map(|((node, _), entry)| (*node, entry.bytes.as_slice()))
    }
}
