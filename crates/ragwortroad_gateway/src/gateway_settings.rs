use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration, //
};

/// Addresses, limits and timeouts of a [`GatewayServer`](crate::GatewayServer).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewaySettings {
    /// The node's name, written to the log.
    pub node_name: String,
    /// The TCP address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Number of traffic threads.
    pub traffic_threads: usize,
    /// Maximum length of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum total of buffered request bodies over all clients, in bytes.
    pub max_buffered_body_bytes: usize,
    /// Maximum length of a request head, in bytes; at least 8192.
    pub max_header_bytes: usize,
    /// Maximum length of an endpoint response that is not a stream, in bytes.
    pub max_response_bytes: usize,
    /// Maximum length of a response that is sent to the control thread to be recorded under its
    /// idempotency key, in bytes.
    pub max_recorded_response_bytes: usize,
    /// Maximum number of client connections.
    pub max_connections: usize,
    /// Maximum number of client connections from one IP address.
    pub max_connections_per_address: usize,
    /// Maximum time for which a connection may stay open without a request.
    pub idle_timeout: Duration,
    /// Maximum time from the first byte of a request head to its end.
    pub header_timeout: Duration,
    /// Maximum time for receiving a request body.
    pub body_timeout: Duration,
    /// Maximum time for which a client may leave response bytes unread.
    pub write_timeout: Duration,
    /// Size of the socket send buffer of a client connection, in bytes.
    ///
    /// Without a limit, a client that reads nothing takes megabytes of kernel memory, and the
    /// gateway notices the stall only once they are full.
    pub send_buffer_bytes: usize,
    /// Maximum time for opening a connection to an endpoint.
    pub connect_timeout: Duration,
    /// Maximum time without a byte of a stream before the stream counts as broken.
    pub stream_idle_timeout: Duration,
    /// Deadline of a request that sets none.
    pub default_deadline: Duration,
    /// Maximum deadline that a request may set.
    pub max_deadline: Duration,
    /// Maximum number of attempts per request, even if the control thread would grant more.
    pub max_attempts: u32,
    /// Whether engines must name the request in each response: in `X-Request-Id`, and in the `id`
    /// of the response as `chatcmpl-REQUEST`. A response without them counts as broken.
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
