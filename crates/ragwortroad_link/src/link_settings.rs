use std::time::Duration;

/// Timeouts and limits of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkSettings {
    /// Idle time after which the dialer sends a keepalive.
    ///
    /// Each keepalive costs two wake-ups, and a registry has a connection to every edge.
    pub keepalive_interval: Duration,
    /// Time without any received byte after which the peer is considered lost.
    ///
    /// A connection can stop delivering data permanently without an error, and only this timeout
    /// detects it. The default allows two late keepalives.
    pub idle_timeout: Duration,
    /// Timeout for establishing a connection.
    pub dial_timeout: Duration,
    /// Maximum number of messages waiting to be written.
    pub queue_capacity: usize,
    /// Maximum size of one message; a compressed configuration of several thousand routes fits.
    pub max_message_bytes: usize,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            keepalive_interval: Duration::from_millis(800),
            idle_timeout: Duration::from_millis(2200),
            dial_timeout: Duration::from_millis(800),
            queue_capacity: 512,
            max_message_bytes: 4 << 20,
        }
    }
}
