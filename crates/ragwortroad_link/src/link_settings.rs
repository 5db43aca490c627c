use std::time::Duration;

/// Figures of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkSettings {
    /// Time without anything to send after which a side that dialled sends a keepalive.
    ///
    /// Each costs two wake-ups, and a registry has a connection to every edge.
    pub keepalive_interval: Duration,
    /// Time without a message after which the other side counts as lost.
    ///
    /// A connection can go silent for good without an error, and only this shows it. Two keepalives may
    /// be late before it ends.
    pub idle_timeout: Duration,
    /// Time for a connection to be established.
    pub dial_timeout: Duration,
    /// Messages that wait to be written.
    pub queue_capacity: usize,
    /// Bytes of one message; a packed configuration of some thousand routes fits.
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
