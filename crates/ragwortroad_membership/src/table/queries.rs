use ragwortroad_types::prelude::*;

use crate::{
    EndpointRecord,
    MembershipStats,
    MembershipTable,
    NodeRecord,
    NodeState, //
};

/// Read-only queries.
impl MembershipTable {
    /// Returns the identity of this node.
    pub fn own_id(&self) -> NodeId {
        self.own
    }

    /// Returns the record of `node`, which may be this node; absent if it is unknown.
    pub fn node(&self, node: NodeId) -> Option<&NodeRecord> {
        self.nodes.record(node)
    }

    /// Iterates over all known nodes, including this one and those that are down.
    pub fn nodes(&self) -> impl Iterator<Item = (NodeId, &NodeRecord)> {
        self.nodes.iter().map(|(id, entry)| (id, &entry.record))
    }

    /// Iterates over the nodes that clients may be sent to: those that are alive, including this
    /// one.
    pub fn live_nodes(&self) -> impl Iterator<Item = (NodeId, &NodeRecord)> {
        self.nodes()
            .filter(|(_, record)| record.state == NodeState::Alive)
    }

    /// Returns the record of `endpoint`; absent if it is unknown.
    pub fn endpoint(&self, endpoint: EndpointId) -> Option<&EndpointRecord> {
        self.endpoints.record(endpoint)
    }

    /// Iterates over all known endpoints, including those that are gone.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.endpoints.iter().map(|(_, entry)| &entry.record)
    }

    /// Whether `endpoint` may be given new work: it accepts new work and its home is not down.
    pub fn is_available(&self, endpoint: EndpointId) -> bool {
        let Some(record) = self.endpoints.record(endpoint) else {
            return false;
        };
        record.accepts_new_work() && self.nodes.state(record.home).is_present()
    }

    /// Iterates over the endpoints that may be given new work.
    pub fn available_endpoints(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.endpoints()
            .filter(|record| self.is_available(record.id))
    }

    /// Iterates over the peers that this node sends all updates to.
    pub fn neighbours(&self) -> impl Iterator<Item = NodeId> {
        self.links
            .iter()
            .filter(|(_, link)| link.is_neighbour)
            .map(|(peer, _)| *peer)
    }

    /// Returns the counters since the table was created.
    pub fn stats(&self) -> MembershipStats {
        self.stats
    }

    /// Returns a hash over all nodes and endpoints that are present. Equal views have equal hashes.
    pub fn view_hash(&self) -> u32 {
        self.digest.root()
    }

    /// Returns the number of updates that are queued, summed over all peers.
    pub fn pending_update_count(&self) -> usize {
        self.links.values().map(|link| link.pending.len()).sum()
    }
}
