use std::net::SocketAddr;

use flume::Sender;

use crate::PeerChannel;

/// A message waiting to be sent to one peer.
pub(crate) struct QueuedMessage {
    /// The address on which the peer listens.
    pub(crate) to: SocketAddr,
    pub(crate) channel: PeerChannel,
    /// The channel's tag, followed by the message.
    pub(crate) frame: Vec<u8>,
}

/// The sending side of one peer's queue.
pub(crate) struct PeerQueue {
    /// Invariant: the receiving side belongs to exactly one writer task.
    pub(crate) sender: Sender<QueuedMessage>,
}
