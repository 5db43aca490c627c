use std::sync::{
    Arc,
    atomic::{
        AtomicUsize,
        Ordering, //
    }, //
};

use snafu::{
    Snafu,
    ensure, //
};

/// Most bytes that may be read from a connection without a head or a part of a body; more than the
/// HTTP library reads ahead.
const MAX_STRAY_BYTES: usize = 1 << 20;

/// An endpoint sent too much that is no part of a response; the connection is closed.
#[derive(Clone, Copy, Debug)]
#[derive(Snafu)]
#[snafu(display(
    "{MAX_STRAY_BYTES} bytes without a head or a part of a body; respond with less between them"
))]
pub struct StrayBytes;

/// Counts the bytes that a connection brings without a head or a part of a body.
#[derive(Clone, Debug, Default)]
pub struct ReadProgress(Arc<AtomicUsize>);

impl ReadProgress {
    /// Records bytes that were read.
    ///
    /// # Errors
    ///
    /// Fails if too many have been read since the last head or part of a body.
    pub(crate) fn note_read(&self, bytes: usize) -> Result<(), StrayBytes> {
        let Self(stray) = self;
        // One task reads a connection, and the order with other memory does not matter.
        let before = stray.fetch_add(bytes, Ordering::Relaxed);
        ensure!(
            before.saturating_add(bytes) <= MAX_STRAY_BYTES,
            StrayBytesSnafu
        );
        Ok(())
    }

    /// Records that a head or a part of a body has arrived, or that a request is being sent.
    pub fn note_part(&self) {
        self.0.store(0, Ordering::Relaxed);
    }
}
