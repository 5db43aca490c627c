use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration, //
};

use crate::PeerKeys;

/// How the transport listens, and its limits.
#[derive(Clone, Debug)]
pub struct TransportSettings {
    /// The UDP address to listen on and to send from.
    pub listen: SocketAddr,
    /// This node's certificate and key, and the fleet's authority.
    pub keys: PeerKeys,
    /// A connection without traffic is closed after this time; a silent peer counts as lost.
    pub idle_timeout: Duration,
    /// The longest a handshake may take.
    pub handshake_timeout: Duration,
    /// The longest one message may take to be written or read.
    pub message_timeout: Duration,
    /// The largest message in bytes.
    pub max_message_bytes: usize,
    /// Messages that wait for one peer before further ones are dropped.
    pub queue_capacity: usize,
    /// Events that wait for the owner before peers are slowed down.
    pub event_capacity: usize,
    /// Messages of one peer under way at once.
    pub max_streams_per_peer: u32,
    /// Handshakes under way at once; a peer beyond them is refused.
    pub max_handshakes: usize,
    /// Connections open at once; a peer beyond them is refused.
    pub max_connections: usize,
    /// A peer that cannot be reached is not tried again before this time.
    pub reconnect_delay: Duration,
    /// Threads of the transport's own runtime.
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
