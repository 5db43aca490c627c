/// Counters since the start of the transport.
///
/// Byte counts cover UDP payloads, including QUIC headers, acknowledgements, retransmissions and
/// handshakes. IPv4 and UDP headers add 28 bytes per datagram.
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
    /// Messages accepted for sending.
    pub messages_queued: u64,
    /// Messages dropped because a peer's queue was full or the peer could not be reached.
    pub messages_dropped: u64,
    /// Messages rejected as too large, when sending or receiving.
    pub messages_too_large: u64,
    /// Complete messages received.
    pub messages_received: u64,
    /// Peers refused in the handshake: not authenticated, beyond a limit, or too slow.
    pub handshakes_refused: u64,
    /// Connections currently open.
    pub connections: u64,
}
