use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration, //
};

use crate::PeerKeys;

/// Address, keys and limits of a [`PeerTransport`](crate::PeerTransport).
#[derive(Clone, Debug)]
pub struct TransportSettings {
    /// The UDP address to listen on and to send from.
    pub listen: SocketAddr,
    /// The node's certificate and private key, and the certificate of the fleet's authority.
    pub keys: PeerKeys,
    /// A connection without traffic closes after this time, and a silent peer counts as lost.
    pub idle_timeout: Duration,
    /// Time limit of a handshake.
    pub handshake_timeout: Duration,
    /// Time limit for sending or receiving one message.
    pub message_timeout: Duration,
    /// Maximum size of a message, in bytes.
    pub max_message_bytes: usize,
    /// Messages queued for one peer before further ones are dropped.
    pub queue_capacity: usize,
    /// Events queued for the owner before peers are slowed down.
    pub event_capacity: usize,
    /// Messages of one peer in flight at once.
    pub max_streams_per_peer: u32,
    /// Incoming handshakes in progress at once; further peers are refused.
    pub max_handshakes: usize,
    /// Open connections; further peers are refused.
    pub max_connections: usize,
    /// Minimum delay before another attempt to connect to an unreachable peer.
    pub reconnect_delay: Duration,
    /// Number of threads of the transport runtime; at least one is started.
    pub threads: usize,
}

impl Default for TransportSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            keys: PeerKeys::default(),
            idle_timeout: Duration::from_secs(15),
            handshake_timeout: Duration::from_secs(3),
            message_timeout: Duration::from_secs(10),
            max_message_bytes: 4 << 20,
            queue_capacity: 256,
            event_capacity: 4096,
            max_streams_per_peer: 32,
            max_handshakes: 64,
            max_connections: 1024,
            reconnect_delay: Duration::from_millis(250),
            threads: 1,
        }
    }
}
