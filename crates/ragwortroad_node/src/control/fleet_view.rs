//! Lookups of nodes and endpoints, and sending of messages to nodes, shared by the other flows.

use std::net::SocketAddr;

use ragwortroad_membership::prelude::*;
use ragwortroad_transport::prelude::*;
use ragwortroad_types::prelude::*;

use crate::control::control_state::ControlState;

impl ControlState {
    /// Returns the address at which an endpoint takes requests.
    pub(crate) fn endpoint_address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        let record = self.membership.endpoint(endpoint)?;
        Some(record.address)
    }

    /// Returns the address at which an endpoint's home node accepts clients.
    pub(crate) fn home_address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        let record = self.membership.endpoint(endpoint)?;
        self.caller_address(record.home)
    }

    /// Returns the address at which a node accepts clients.
    pub(crate) fn caller_address(&self, node: NodeId) -> Option<SocketAddr> {
        let record = self.membership.node(node)?;
        Some(record.caller_address)
    }

    /// Returns a node's name, or its id if the name isn't known.
    pub(crate) fn node_name(&self, node: NodeId) -> String {
        let record = self.membership.node(node);
        record.map_or_else(|| node.to_string(), |record| record.name.clone())
    }

    /// Returns the nodes that clients may be sent to, sorted by id.
    pub(crate) fn available_nodes(&self) -> Vec<NodeId> {
        let config = &self.follower.config;
        let is_undrained = |record: &NodeRecord| !config.drains_node(&record.name);
        let live = self.membership.live_nodes();
        let available = live.filter(|(_, record)| is_undrained(record));
        let mut nodes: Vec<NodeId> = available.map(|(node, _)| node).collect();
        nodes.retain(|node| !(self.draining && *node == self.node));
        nodes.sort_unstable();
        nodes
    }

    /// Returns the nodes that may hold the replicated state, from the settings and from the
    /// configuration.
    pub(crate) fn member_nodes(&self) -> Vec<NodeId> {
        let seeds = self.settings.state.members.iter();
        let mut nodes: Vec<NodeId> = seeds.map(|seed| NodeId::from_name(&seed.name)).collect();
        let declared = self.follower.config.members.keys();
        nodes.extend(declared.map(|name| NodeId::from_name(name)));
        nodes.sort_unstable();
        nodes.dedup();
        nodes
    }

    /// Returns the leader as far as this node knows it.
    pub(crate) fn leader(&self) -> Option<NodeId> {
        let replica = self.replica.as_ref();
        replica
            .and_then(|replica| replica.leader_node())
            .or(self.follower.leader)
    }

    /// Queues a message for a node. A lost message is resent by the flow that sent it.
    pub(crate) fn send(&self, to: NodeId, channel: PeerChannel, bytes: Vec<u8>) {
        let Some(address) = self.peer_address(to) else {
            tracing::debug!(%to, ?channel, "cannot send a message: the node's address is not known");
            return;
        };
        self.send_at(address, to, channel, bytes);
    }

    /// Queues a message for a node at a known address.
    pub(crate) fn send_at(
        &self,
        address: SocketAddr,
        to: NodeId,
        channel: PeerChannel,
        bytes: Vec<u8>,
    ) {
        let name = format!("{channel:?}").to_lowercase();
        metrics::counter!("ragwortroad_messages_total", "channel" => name.clone()).increment(1);
        metrics::counter!("ragwortroad_message_bytes_total", "channel" => name)
            .increment(bytes.len() as u64);
        let stamped = self.events.add_stamp(&bytes);
        let outcome = self.transport.send(address, to, channel, stamped);
        if outcome != SendOutcome::Queued {
            tracing::debug!(%to, ?channel, ?outcome, "message not queued");
        }
    }

    /// Returns the address at which a node takes messages: from gossip, else from the settings or
    /// the configuration.
    fn peer_address(&self, node: NodeId) -> Option<SocketAddr> {
        if let Some(record) = self.membership.node(node) {
            return Some(record.gossip_address);
        }
        let state = self.settings.state.members.iter();
        let mut seeds = state.chain(self.settings.fleet.seeds.iter());
        let seed = seeds.find(|seed| NodeId::from_name(&seed.name) == node);
        if let Some(seed) = seed {
            return Some(seed.peer);
        }
        let mut declared = self.follower.config.members.iter();
        let declared = declared.find(|(name, _)| NodeId::from_name(name) == node);
        declared.and_then(|(_, address)| address.parse().ok())
    }
}
