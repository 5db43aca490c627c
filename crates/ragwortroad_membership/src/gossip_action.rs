use std::net::SocketAddr;

use ragwortroad_types::prelude::*;

/// A side effect that [`MembershipTable`](crate::MembershipTable) requests, or a change that it
/// reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipAction {
    /// Send a packet. Delivery need not be reliable.
    Send {
        /// The receiving node.
        to: NodeId,
        /// The receiver's gossip address.
        address: SocketAddr,
        /// The encoded packet.
        bytes: Vec<u8>,
    },
    /// A node joined, came back after being down, or refuted a suspicion.
    NodeUp(NodeId),
    /// A node does not respond and is suspected to be down; it may still refute this.
    NodeSuspected(NodeId),
    /// A node is considered down.
    NodeDown(NodeId),
    /// A node is shutting down.
    NodeLeaving(NodeId),
    /// An endpoint appeared, or a field of its record other than the load changed.
    EndpointChanged(EndpointId),
    /// An endpoint's published load changed.
    EndpointLoadChanged(EndpointId),
    /// An endpoint is gone, or its home node is down.
    EndpointGone(EndpointId),
    /// This node's right to admit work to an endpoint began, ended, or got another start time.
    HomeChanged(EndpointId),
    /// A node's blob of this kind changed.
    BlobChanged {
        /// The node that published the blob.
        node: NodeId,
        /// The blob's kind.
        kind: u8,
    },
}
