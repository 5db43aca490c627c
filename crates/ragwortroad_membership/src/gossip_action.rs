use std::net::SocketAddr;

use ragwortroad_types::prelude::*;

/// What a [`MembershipTable`](crate::MembershipTable) wants done, or has found out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipAction {
    /// Send a packet; it may get lost.
    Send {
        /// To this node.
        to: NodeId,
        /// At this address.
        address: SocketAddr,
        /// The packet.
        bytes: Vec<u8>,
    },
    /// A node appeared or came back.
    NodeUp(NodeId),
    /// A node is silent, and may speak up yet.
    NodeSuspected(NodeId),
    /// A node is taken for gone.
    NodeDown(NodeId),
    /// A node is shutting down.
    NodeLeaving(NodeId),
    /// An endpoint appeared, or something of its record but the load changed.
    EndpointChanged(EndpointId),
    /// An endpoint's load as told to the fleet changed.
    EndpointLoadChanged(EndpointId),
    /// An endpoint is gone, or its home has been down for long.
    EndpointGone(EndpointId),
    /// This node's right to admit work to an endpoint began, moved or ended.
    HomeChanged(EndpointId),
    /// A node's blob of this kind changed.
    BlobChanged {
        /// The node.
        node: NodeId,
        /// The blob's kind.
        kind: u8,
    },
}
