use std::net::SocketAddr;

use ragwortroad_types::prelude::*;

/// The state that a node is believed to be in.
///
/// Invariant: variants are ordered by precedence. Of two updates for the same incarnation, the one
/// with the later variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NodeState {
    /// The node responds.
    Alive,
    /// The node does not respond; it may still refute the suspicion.
    Suspected,
    /// The node is shutting down and accepts neither new work nor endpoints.
    Leaving,
    /// The node is considered gone.
    Down,
}

impl NodeState {
    /// Whether packets may be sent to the node; true in every state but `Down`.
    pub fn is_present(self) -> bool {
        self != Self::Down
    }
}

/// The replicated record of one node. Every node holds a copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeRecord {
    /// The node's unique name.
    pub name: String,
    /// The node's failure domain (zone).
    pub zone: String,
    /// The node's region; empty if none is set.
    pub region: String,
    /// Address for packets from other nodes.
    pub gossip_address: SocketAddr,
    /// Address for clients and endpoints.
    pub caller_address: SocketAddr,
    /// Incremented when the node starts, or when it refutes an update about itself.
    ///
    /// Invariant: only the node itself increments it.
    pub incarnation: u64,
    /// The state that the node is believed to be in.
    pub state: NodeState,
}

impl NodeRecord {
    /// Creates a record of a live node that uses one address for everything. Other fields can be
    /// set with struct update syntax.
    pub fn new(name: &str, zone: &str, gossip_address: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            region: String::new(),
            gossip_address,
            caller_address: gossip_address,
            incarnation: 1,
            state: NodeState::Alive,
        }
    }

    /// Returns the node's identity, derived from its name.
    pub fn id(&self) -> NodeId {
        NodeId::from_name(&self.name)
    }

    /// Whether an update with this `incarnation` and `state` supersedes the record.
    pub(crate) fn is_older_than(&self, incarnation: u64, state: NodeState) -> bool {
        (self.incarnation, self.state) < (incarnation, state)
    }

    /// Hashes the fields other than incarnation and state.
    pub(crate) fn metadata_hash(&self) -> u16 {
        let text = format!(
            "{}\n{}\n{}\n{}\n{}",
            self.name, self.zone, self.region, self.gossip_address, self.caller_address
        );
        xxhash_rust::xxh3::xxh3_64(text.as_bytes()) as u16
    }
}
