use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration, //
};

/// How a [`GatewayServer`](crate::GatewayServer) listens and what it allows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewaySettings {
    /// The node's name, for the log.
    pub node_name: String,
    /// Where to listen; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Number of traffic threads.
    pub traffic_threads: usize,
    /// Longest request body in bytes.
    pub max_body_bytes: usize,
    /// Bytes of request bodies held at once, over all callers.
    pub max_buffered_body_bytes: usize,
    /// Longest request head in bytes; at least 8192.
    pub max_header_bytes: usize,
    /// Longest answer of an endpoint, in bytes, that is not a stream.
    pub max_response_bytes: usize,
    /// Longest answer that is handed to the control thread to be kept under its key.
    pub max_recorded_response_bytes: usize,
    /// Connections of callers at once.
    pub max_connections: usize,
    /// Connections from one IP number at once.
    pub max_connections_per_address: usize,
    /// How long a connection may stay without a request.
    pub idle_timeout: Duration,
    /// How long a caller may take over a request's head.
    pub header_timeout: Duration,
    /// How long a caller may take over a request's body.
    pub body_timeout: Duration,
    /// How long a caller may leave bytes of its answer unread.
    pub write_timeout: Duration,
    /// Bytes of an answer that the system may hold for a caller that does not read them.
    ///
    /// Without a bound a caller that reads nothing takes megabytes of the system's memory, and its
    /// silence is noticed only once they are full.
    pub send_buffer_bytes: usize,
    /// How long a connection to an endpoint may take to open.
    pub connect_timeout: Duration,
    /// How long a stream may stay without a byte before it counts as broken.
    pub stream_idle_timeout: Duration,
    /// Deadline of a request that names none.
    pub default_deadline: Duration,
    /// Longest deadline a request may name.
    pub max_deadline: Duration,
    /// Attempts for one request, whatever the control thread would grant.
    pub max_attempts: u32,
    /// Whether engines name the request in each answer: in `X-Request-Id`, and in the answer's `id`
    /// as `chatcmpl-REQUEST`. An answer that then does not counts as broken.
    pub require_request_id_echo: bool,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            node_name: String::new(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            traffic_threads: 2,
            max_body_bytes: 4 << 20,
            max_buffered_body_bytes: 64 << 20,
            max_header_bytes: 16 << 10,
            max_response_bytes: 16 << 20,
            max_recorded_response_bytes: 64 << 10,
            max_connections: 4096,
            max_connections_per_address: 1024,
            idle_timeout: Duration::from_secs(60),
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_secs(20),
            send_buffer_bytes: 256 << 10,
            connect_timeout: Duration::from_secs(1),
            stream_idle_timeout: Duration::from_secs(30),
            default_deadline: Duration::from_secs(120),
            max_deadline: Duration::from_secs(900),
            max_attempts: 6,
            require_request_id_echo: true,
        }
    }
}
