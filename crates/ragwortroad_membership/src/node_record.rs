use std::net::SocketAddr;

use ragwortroad_types::prelude::*;

/// What is believed of a node.
///
/// Invariant: the order is the one in which news of one incarnation replaces other news.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NodeState {
    /// It is heard of.
    Alive,
    /// It is silent; it may still speak up.
    Suspected,
    /// It is shutting down and takes no new work or endpoints.
    Leaving,
    /// It is gone.
    Down,
}

impl NodeState {
    /// Whether messages to the node make sense.
    pub fn is_present(self) -> bool {
        self != Self::Down
    }
}

/// One node, as everybody knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeRecord {
    /// Its name.
    pub name: String,
    /// Its failure domain (zone).
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Where other nodes reach it.
    pub gossip_address: SocketAddr,
    /// Where callers and endpoints reach it.
    pub caller_address: SocketAddr,
    /// Counts up whenever the node starts, or speaks up against false news of itself.
    ///
    /// Invariant: only the node itself raises it.
    pub incarnation: u64,
    /// What is believed of it.
    pub state: NodeState,
}

impl NodeRecord {
    /// A live record with one address for everything; set other fields by update syntax.
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

    /// The node's identity.
    pub fn id(&self) -> NodeId {
        NodeId::from_name(&self.name)
    }

    /// Whether news of `incarnation` and `state` replaces this record's.
    pub(crate) fn is_older_than(&self, incarnation: u64, state: NodeState) -> bool {
        (self.incarnation, self.state) < (incarnation, state)
    }

    /// A hash over what stays the same while only incarnation and state change.
    pub(crate) fn metadata_hash(&self) -> u16 {
        let text = format!(
            "{}\n{}\n{}\n{}\n{}",
            self.name, self.zone, self.region, self.gossip_address, self.caller_address
        );
        xxhash_rust::xxh3::xxh3_64(text.as_bytes()) as u16
    }
}
