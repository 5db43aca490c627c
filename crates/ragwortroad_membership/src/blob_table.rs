use std::collections::BTreeMap;

use ragwortroad_types::prelude::*;

/// The latest blob of one kind that a node has published.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct BlobEntry {
    /// The node's incarnation and a counter within it. The higher pair is newer.
    pub(crate) version: (u64, u64),
    pub(crate) bytes: Vec<u8>,
}

/// The latest blob of each node and kind.
#[derive(Debug, Default)]
pub(crate) struct BlobTable {
    /// Ordered, so that a replay with the same seed visits blobs in the same order.
    blobs: BTreeMap<(NodeId, u8), BlobEntry>,
}

impl BlobTable {
    /// Returns the blob of this kind that `node` published.
    pub(crate) fn get(&self, node: NodeId, kind: u8) -> Option<&BlobEntry> {
        self.blobs.get(&(node, kind))
    }

    /// Stores `entry` if it is newer than the known version, and returns whether it was.
    pub(crate) fn put(&mut self, node: NodeId, kind: u8, entry: BlobEntry) -> bool {
        let known = self.blobs.entry((node, kind)).or_default();
        if entry.version <= known.version {
            return false;
        }
        *known = entry;
        true
    }

    pub(crate) fn remove_node(&mut self, node: NodeId) {
        self.blobs.retain(|(owner, _), _| *owner != node);
    }

    /// Returns the kinds of blobs that `node` has published.
    pub(crate) fn kinds(&self, node: NodeId) -> Vec<u8> {
        self.blobs
            .range((node, 0)..=(node, u8::MAX))
            .map(|((_, kind), _)| *kind)
            .collect()
    }

    /// Iterates over the blobs of one kind with the nodes that published them.
    pub(crate) fn of_kind(&self, kind: u8) -> impl Iterator<Item = (NodeId, &[u8])> {
        self.blobs
            .iter()
            .filter(move |((_, known), _)| *known == kind)
            .map(|((node, _), entry)| (*node, entry.bytes.as_slice()))
    }
}
