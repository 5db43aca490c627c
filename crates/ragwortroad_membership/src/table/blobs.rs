//! Small opaque payloads that nodes publish for other components.

use ragwortroad_types::prelude::*;

use crate::{
    GossipAction,
    MembershipTable,
    blob_table::BlobEntry,
    pending_queue::UpdatePriority,
    record_key::UpdateKey,
    wire::wire_item::BlobItem, //
};

/// A blob of this node with its publication state.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnBlob {
    /// Content that has not been published yet.
    unpublished: Option<Vec<u8>>,
    /// Number of versions published so far.
    version: u64,
    /// When the last version was published.
    published_at: Option<ClockTime>,
}

impl MembershipTable {
    /// Sets this node's blob of `kind`, which is replicated to every node. It is published at the
    /// next tick, or once the minimum interval since the last version has passed.
    ///
    /// Returns false, and changes nothing, if `bytes` exceeds the maximum size.
    pub fn set_blob(&mut self, kind: u8, bytes: Vec<u8>) -> bool {
        if bytes.len() > self.settings.max_blob_bytes {
            return false;
        }
        let blob = self.own_blobs.entry(kind).or_default();
        let current = self.blobs.get(self.own, kind);
        let unchanged = current.is_some_and(|entry| entry.bytes == bytes);
        blob.unpublished = (!unchanged).then_some(bytes);
        true
    }

    /// Iterates over the known blobs of `kind`, including this node's.
    pub fn blobs(&self, kind: u8) -> impl Iterator<Item = (NodeId, &[u8])> {
        self.blobs.of_kind(kind)
    }

    /// Publishes the blobs of this node whose minimum interval has passed.
    pub(super) fn publish_blobs(&mut self, now: ClockTime) {
        let interval = self.settings.min_blob_interval;
        let incarnation = self.own_incarnation();
        let mut due = Vec::new();
        for (kind, blob) in &mut self.own_blobs {
            let recent = blob.published_at.is_some_and(|at| now.since(at) < interval);
            if recent {
                continue;
            }
            if let Some(bytes) = blob.unpublished.take() {
                blob.version += 1;
                blob.published_at = Some(now);
                let version = (incarnation, blob.version);
                due.push((*kind, BlobEntry { version, bytes }));
            }
        }
        for (kind, entry) in due {
            self.blobs.put(self.own, kind, entry);
            self.broadcast(UpdateKey::Blob(self.own, kind), UpdatePriority::Blob, None);
        }
    }

    /// Merges another node's blob.
    pub(super) fn merge_blob(&mut self, from: NodeId, item: BlobItem) {
        let node = NodeId(item.node);
        let present = self.nodes.state(node).is_present();
        let fits = item.bytes.len() <= self.settings.max_blob_bytes;
        if node == self.own || !present || !fits {
            return;
        }
        let key = UpdateKey::Blob(node, item.kind);
        let version = (item.incarnation, item.version);
        let entry = BlobEntry {
            version,
            bytes: item.bytes,
        };
        if self.blobs.put(node, item.kind, entry) {
            self.broadcast(key, UpdatePriority::Blob, Some(from));
            self.actions.push(GossipAction::BlobChanged {
                node,
                kind: item.kind,
            });
        } else if let Some(link) = self.links.get_mut(&from) {
            let known = self.blobs.get(node, item.kind);
            if known.is_some_and(|entry| entry.version == version) {
                link.pending.cancel(key);
            }
        }
    }

    pub(super) fn own_incarnation(&self) -> u64 {
        self.nodes
            .record(self.own)
            .map_or(0, |record| record.incarnation)
    }
}
