use ragwortroad_types::prelude::*;

/// What happens to a [`MembershipTable`](crate::MembershipTable).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipInput {
    /// Time has passed; wanted about every 100 ms.
    Tick,
    /// A peer sent a packet.
    Packet {
        /// The sender, proved by its certificate.
        from: NodeId,
        /// The packet.
        bytes: Vec<u8>,
    },
    /// An endpoint announced itself to this node.
    Announce(AnnounceWire),
    /// This node is shutting down: it gives up its endpoints and says so.
    LeaveStarted,
}
