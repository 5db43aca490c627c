/// The result of [`PeerTransport::send`](crate::PeerTransport::send).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The message is queued; it may still be lost in transit.
    Queued,
    /// The queue of the peer is full; the message was dropped and counted.
    QueueFull,
    /// The message exceeds the maximum size; it was dropped and counted.
    TooLarge,
    /// The transport is shutting down.
    Closed,
}
