use ragwortroad_types::prelude::*;

use crate::PeerChannel;

/// What the transport tells its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerEvent {
    /// A whole message.
    Received(PeerMessage),
    /// The connection to a peer broke or could not be made; messages under way may be lost.
    ///
    /// A connection closed because it was idle is not reported.
    PeerLost {
        /// The peer.
        peer: NodeId,
        /// Why, for the log.
        reason: String,
    },
}

/// A message whose sender is proved by its certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerMessage {
    /// The sender.
    pub from: NodeId,
    /// What it is about.
    pub channel: PeerChannel,
    /// The message.
    pub bytes: Vec<u8>,
}
