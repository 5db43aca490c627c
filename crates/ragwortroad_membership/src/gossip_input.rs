use ragwortroad_types::prelude::*;

/// An event that [`MembershipTable`](crate::MembershipTable) has to process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipInput {
    /// Time has passed. Expected about every 100 ms.
    Tick,
    /// A packet arrived from a peer.
    Packet {
        /// The sender, as authenticated by its certificate.
        from: NodeId,
        /// The encoded packet.
        bytes: Vec<u8>,
    },
    /// An endpoint announced itself to this node.
    Announce(AnnounceWire),
    /// This node starts to shut down: it releases its endpoints and tells its peers.
    LeaveStarted,
}
