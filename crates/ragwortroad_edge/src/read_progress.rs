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
const MAX_STALLED_BYTES: usize = 1 << 20;

/// An endpoint sent too much that is no part of a response.
#[derive(Clone, Copy, Debug)]
#[derive(Snafu)]
#[snafu(display(
    "{MAX_STALLED_BYTES} bytes without a head or a part of a body; the connection is closed"
))]
pub(crate) struct ReadStalled;

/// Counts the bytes that a connection brings without a head or a part of a body.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadProgress(Rc<Cell<usize>>);

impl ReadProgress {
    /// Records bytes that were read.
    ///
    /// # Errors
    ///
    /// Fails if too many have been read since the last head or part of a body.
    pub(crate) fn note_read(&self, bytes: usize) -> Result<(), ReadStalled> {
        let Self(stalled) = self;
        stalled.set(stalled.get().saturating_add(bytes));
        ensure!(stalled.get() <= MAX_STALLED_BYTES, ReadStalledSnafu);
        Ok(())
    }

    /// Records that a head or a part of a body has arrived.
    pub(crate) fn note_part(&self) {
        self.0.set(0);
    }
}
