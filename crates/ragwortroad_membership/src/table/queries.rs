use ragwortroad_types::prelude::*;

use crate::{
    EndpointRecord,
    MembershipStats,
    MembershipTable,
    NodeRecord,
    NodeState, //
};

/// Questions, which change nothing.
impl MembershipTable {
    /// This node.
    pub fn own_id(&self) -> NodeId {
        self.own
    }

    /// The record of `node`, this one included.
    pub fn node(&self, node: NodeId) -> Option<&NodeRecord> {
        self.nodes.record(node)
    }

    /// All known nodes, this one and those that are down included.
    pub fn nodes(&self) -> impl Iterator<Item = (NodeId, &NodeRecord)> {
        self.nodes.iter().map(|(id, entry)| (id, &entry.record))
    }

    /// Nodes that may be sent callers: alive and not leaving, this one included.
    pub fn live_nodes(&self) -> impl Iterator<Item = (NodeId, &NodeRecord)> {
        self.nodes()
            .filter(|(_, record)| record.state == NodeState::Alive)
    }

    /// The record of `endpoint`.
    pub fn endpoint(&self, endpoint: EndpointId) -> Option<&EndpointRecord> {
        self.endpoints.record(endpoint)
    }

    /// All known endpoints, those that are gone included.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.endpoints.iter().map(|(_, entry)| &entry.record)
    }

    /// Whether new work may be meant for `endpoint`: it wants work and its home is not down.
    pub fn is_available(&self, endpoint: EndpointId) -> bool {
        let Some(record) = self.endpoints.record(endpoint) else {
            return false;
        };
        record.accepts_new_work() && self.nodes.state(record.home).is_present()
    }

    /// Endpoints that new work may be meant for.
    pub fn available_endpoints(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.endpoints()
            .filter(|record| self.is_available(record.id))
    }

    /// The peers that this node exchanges news with.
    pub fn neighbours(&self) -> impl Iterator<Item = NodeId> {
        self.links
            .iter()
            .filter(|(_, link)| link.is_neighbour)
            .map(|(peer, _)| *peer)
    }

    /// Counters.
    pub fn stats(&self) -> MembershipStats {
        self.stats
    }

    /// A hash over all nodes and endpoints known; equal views have equal hashes.
    pub fn view_hash(&self) -> u32 {
        self.digest.root()
    }

    /// Pieces of news that wait to be sent, over all peers.
    pub fn pending_update_count(&self) -> usize {
        self.links.values().map(|link| link.pending.len()).sum()
    }
}
