use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

/// Bytes sent to and received from other nodes. The control thread writes them; the owner of the
/// [`NodeProcess`](crate::NodeProcess) reads them.
#[derive(Debug, Default)]
pub(crate) struct ByteCounts {
    sent: AtomicU64,
    received: AtomicU64,
}

impl ByteCounts {
    /// Replaces both counts.
    pub(crate) fn write(&self, sent: u64, received: u64) {
        self.sent.store(sent, Ordering::Relaxed);
        self.received.store(received, Ordering::Relaxed);
    }

    /// Returns the bytes sent and the bytes received.
    pub(crate) fn read(&self) -> (u64, u64) {
        let sent = self.sent.load(Ordering::Relaxed);
        (sent, self.received.load(Ordering::Relaxed))
    }
}
