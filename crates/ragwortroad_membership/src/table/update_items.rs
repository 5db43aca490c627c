//! Conversion of queued updates to packet items.

use std::time::Duration;

use ragwortroad_types::prelude::*;

use crate::{
    EndpointPresence,
    MembershipTable,
    record_key::{
        RecordKey,
        UpdateKey, //
    },
    wire::{
        node_item::state_number,
        wire_item::{
            BlobItem,
            LoadItem,
            NodeStateItem,
            WireItem, //
        }, //
    }, //
};

/// Time after a node joined or changed its metadata during which its full record is sent. Later
/// only its state is sent, and a receiver that lacks the rest requests it.
const FULL_RECORD_PERIOD: Duration = Duration::from_secs(60);

impl MembershipTable {
    /// Builds the item for `key` from the current record; absent if there is nothing to send.
    pub(super) fn update_item(&self, key: UpdateKey, now: ClockTime) -> Option<WireItem> {
        match key {
            UpdateKey::Node(id) => {
                let entry = self.nodes.get(id)?;
                if now.since(entry.metadata_since) < FULL_RECORD_PERIOD {
                    return Some(WireItem::Node((&entry.record).into()));
                }
                Some(WireItem::NodeState(NodeStateItem {
                    node: id.0,
                    incarnation: entry.record.incarnation,
                    state: state_number(entry.record.state),
                    facts: entry.metadata_hash,
                }))
            }
            UpdateKey::Endpoint(id) => {
                let record = self.endpoints.record(id)?;
                Some(WireItem::Endpoint(record.into()))
            }
            UpdateKey::Load(id) => {
                let record = self.endpoints.record(id)?;
                let is_present = record.presence != EndpointPresence::Gone;
                is_present.then(|| {
                    WireItem::Load(LoadItem {
                        key: RecordKey::Endpoint(id).short_hash(),
                        incarnation: record.incarnation as u8,
                        sequence: record.load_sequence,
                        load: record.load.0,
                    })
                })
            }
            UpdateKey::Blob(node, kind) => {
                let entry = self.blobs.get(node, kind)?;
                Some(WireItem::Blob(BlobItem {
                    node: node.0,
                    kind,
                    incarnation: entry.version.0,
                    version: entry.version.1,
                    bytes: entry.bytes.clone(),
                }))
            }
        }
    }

    /// Adds the encoded size of an update to the counters.
    pub(super) fn count_update_bytes(&mut self, key: UpdateKey, bytes: usize) {
        let counter = match key {
            UpdateKey::Node(_) => &mut self.stats.node_bytes,
            UpdateKey::Endpoint(_) => &mut self.stats.endpoint_bytes,
            UpdateKey::Load(_) => &mut self.stats.load_bytes,
            UpdateKey::Blob(..) => &mut self.stats.blob_bytes,
        };
        *counter += bytes as u64;
    }
}
