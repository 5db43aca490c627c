use ragwortroad_types::prelude::*;

use crate::PeerChannel;

/// An event that the transport reports to its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerEvent {
    /// A complete message from a peer.
    Received(PeerMessage),
    /// The connection to a peer broke or could not be established; messages in transit may be lost.
    ///
    /// Connections closed for idleness are not reported.
    PeerLost {
        /// The peer.
        peer: NodeId,
        /// The reason, for the log.
        reason: String,
    },
}

/// A message whose sender is authenticated by its certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerMessage {
    /// The sender.
    pub from: NodeId,
    /// The channel the message was sent on.
    pub channel: PeerChannel,
    /// The payload, without the channel tag.
    pub bytes: Vec<u8>,
}
