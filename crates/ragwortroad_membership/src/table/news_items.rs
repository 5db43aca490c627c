//! How news is put into packets.

use std::time::Duration;

use ragwortroad_types::prelude::*;

use crate::{
    EndpointPresence,
    MembershipTable,
    record_key::{
        NewsKey,
        RecordKey, //
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

/// Time after a node appeared in which its whole record is told.
const NEW_NODE_TIME: Duration = Duration::from_secs(60);
impl MembershipTable {
    /// The item that tells the news named by `key` as it stands now.
    pub(super) fn item(&self, key: NewsKey, now: ClockTime) -> Option<WireItem> {
        match key {
            NewsKey::Node(id) => {
                let entry = self.nodes.get(id)?;
                if now.since(entry.up_since) < NEW_NODE_TIME {
                    return Some(WireItem::Node((&entry.record).into()));
                }
                Some(WireItem::NodeState(NodeStateItem {
                    node: id.0,
                    incarnation: entry.record.incarnation,
                    state: state_number(entry.record.state),
                    facts: entry.facts,
                }))
            }
            NewsKey::Endpoint(id) => {
                let record = self.endpoints.record(id)?;
                Some(WireItem::Endpoint(record.into()))
            }
            NewsKey::Load(id) => {
                let record = self.endpoints.record(id)?;
                let there = record.presence != EndpointPresence::Gone;
                there.then(|| {
                    WireItem::Load(LoadItem {
                        key: RecordKey::Endpoint(id).short(),
                        incarnation: record.incarnation as u8,
                        sequence: record.load_sequence,
                        load: record.load.0,
                    })
                })
            }
            NewsKey::Blob(node, kind) => {
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

    /// Counts the bytes of one piece of news.
    pub(super) fn count_news(&mut self, key: NewsKey, bytes: usize) {
        let counter = match key {
            NewsKey::Node(_) => &mut self.stats.node_bytes,
            NewsKey::Endpoint(_) => &mut self.stats.endpoint_bytes,
            NewsKey::Load(_) => &mut self.stats.load_bytes,
            NewsKey::Blob(..) => &mut self.stats.blob_bytes,
        };
        *counter += bytes as u64;
    }
}
