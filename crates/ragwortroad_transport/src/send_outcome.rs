/// What became of a message handed to [`PeerTransport::send`](crate::PeerTransport::send).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// It waits for its turn; it may still be lost on the way.
    Queued,
    /// The peer's queue is full; the message was dropped and counted.
    QueueFull,
    /// It is larger than the settings allow; dropped and counted.
    TooLarge,
    /// The transport is shutting down.
    Closed,
}
