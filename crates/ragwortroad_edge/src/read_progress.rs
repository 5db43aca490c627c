use std::{
    cell::Cell,
    rc::Rc, //
};

use snafu::{
    Snafu,
    ensure, //
};

/// Most bytes that may be read from a connection without a head or a part of a body; more than the
/// HTTP library reads ahead.
const MAX_STRAY_BYTES: usize = 1 << 20;

/// An endpoint sent too much that is no part of a response.
#[derive(Clone, Copy, Debug)]
#[derive(Snafu)]
#[snafu(display(
    "{MAX_STRAY_BYTES} bytes without a head or a part of a body; the connection is closed"
))]
pub(crate) struct StrayBytes;

/// Counts the bytes that a connection brings without a head or a part of a body.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadProgress(Rc<Cell<usize>>);

impl ReadProgress {
    /// Records bytes that were read.
    ///
    /// # Errors
    ///
    /// Fails if too many have been read since the last head or part of a body.
    pub(crate) fn note_read(&self, bytes: usize) -> Result<(), StrayBytes> {
        let Self(stray) = self;
        stray.set(stray.get().saturating_add(bytes));
        ensure!(stray.get() <= MAX_STRAY_BYTES, StrayBytesSnafu);
        Ok(())
    }

    /// Records that a head or a part of a body has arrived.
    pub(crate) fn note_part(&self) {
        self.0.set(0);
    }
}
