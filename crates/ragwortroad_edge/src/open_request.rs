use tokio::time::Instant;

/// A request whose response has not been passed to the client's connection in full.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    /// Id of the client's attempt; `None` if it sent none.
    pub(crate) id: Option<String>,
    /// Version of the configuration in force when its head was read; `None` before the first one.
    pub(crate) version: Option<u64>,
    /// When its head was read.
    pub(crate) received_at: Instant,
    /// Bytes read from the client's connection since then.
    pub(crate) received_bytes: u64,
    /// Bytes that the client's connection has taken since then.
    pub(crate) sent_bytes: u64,
    /// Whether the response has ended as it should and only has to be passed to the connection.
    pub(crate) is_response_whole: bool,
}

impl OpenRequest {
    pub(crate) fn new(id: Option<String>, version: Option<u64>) -> Self {
        Self {
            id,
            version,
            received_at: Instant::now(),
            received_bytes: 0,
            sent_bytes: 0,
            is_response_whole: false,
        }
    }
}
