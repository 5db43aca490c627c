use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

/// Bytes between this node and others, written by the control thread and read by who owns the
/// process.
#[derive(Debug, Default)]
pub(crate) struct ByteCounts {
    sent: AtomicU64,
    received: AtomicU64,
}

impl ByteCounts {
    /// Takes over both counts.
    pub(crate) fn write(&self, sent: u64, received: u64) {
        self.sent.store(sent, Ordering::Relaxed);
        self.received.store(received, Ordering::Relaxed);
    }

    /// Sent and received.
    pub(crate) fn read(&self) -> (u64, u64) {
        let sent = self.sent.load(Ordering::Relaxed);
        (sent, self.received.load(Ordering::Relaxed))
    }
}
