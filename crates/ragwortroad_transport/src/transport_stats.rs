/// Counters since the transport started.
///
/// Bytes are those of UDP payloads, so they hold QUIC's own headers, acknowledgements,
/// retransmissions and handshakes; an IPv4 and UDP header adds 28 bytes to each datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransportStats {
    /// Bytes sent in UDP payloads.
    pub bytes_sent: u64,
    /// Bytes received in UDP payloads.
    pub bytes_received: u64,
    /// UDP datagrams sent.
    pub datagrams_sent: u64,
    /// UDP datagrams received.
    pub datagrams_received: u64,
    /// Messages handed over for sending.
    pub messages_queued: u64,
    /// Messages dropped because a peer's queue was full or the peer could not be reached.
    pub messages_dropped: u64,
    /// Messages refused because they were too large, either way.
    pub messages_too_large: u64,
    /// Messages received whole.
    pub messages_received: u64,
    /// Peers refused in the handshake: unknown, too many at once, or too slow.
    pub handshakes_refused: u64,
    /// Connections open now.
    pub connections: u64,
}
