//! What nodes attach for other parts of the system.

use ragwortroad_types::prelude::*;

use crate::{
    GossipAction,
    MembershipTable,
    blob_table::BlobEntry,
    pending_queue::UpdatePriority,
    record_key::UpdateKey,
    wire::wire_item::BlobItem, //
};

/// An own blob and when it went out.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnBlob {
    /// Content that did not go out yet.
    unpublished: Option<Vec<u8>>,
    /// Versions so far.
    version: u64,
    /// When the last version went out.
    published_at: Option<ClockTime>,
}

impl MembershipTable {
    /// Attaches `bytes` as this node's blob of `kind`, for every node to have; whether it is
    /// small enough. It goes out at the next tick, or later where the last one is too recent.
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

    /// All nodes' blobs of `kind` that are known, this node's included.
    pub fn blobs(&self, kind: u8) -> impl Iterator<Item = (NodeId, &[u8])> {
        self.blobs.of_kind(kind)
    }

    /// Sends own blobs whose spacing has passed.
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

    /// Takes another node's blob.
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

    /// This node's incarnation.
    pub(super) fn own_incarnation(&self) -> u64 {
        self.nodes
            .record(self.own)
            .map_or(0, |record| record.incarnation)
    }
}
