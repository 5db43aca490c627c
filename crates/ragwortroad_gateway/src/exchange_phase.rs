use std::sync::{
    Arc,
    atomic::{
        AtomicU8,
        Ordering, //
    }, //
};

/// Phase of the current exchange on a connection, shared by its socket and its service.
#[derive(Clone, Default)]
pub(crate) struct ExchangePhase {
    /// Invariant: one of the constants below.
    phase: Arc<AtomicU8>,
}

/// No request has been read since the last response was flushed.
const READING: u8 = 0;
/// A request was read, and its response is being produced or written.
const RESPONDING: u8 = 1;
/// The last byte of the response was passed to the connection, which may still buffer it.
const FLUSHING: u8 = 2;

impl ExchangePhase {
    pub(crate) fn begin_response(&self) {
        self.phase.store(RESPONDING, Ordering::Release);
    }

    pub(crate) fn end_response(&self) {
        self.phase.store(FLUSHING, Ordering::Release);
    }

    pub(crate) fn note_flush(&self) {
        let phase = &self.phase;
        let success_order = Ordering::AcqRel;
        if phase
            .compare_exchange(FLUSHING, READING, success_order, Ordering::Acquire)
            .is_err()
        {
            // In another phase the flush does not end a response.
        }
    }

    pub(crate) fn is_responding(&self) -> bool {
        self.phase.load(Ordering::Acquire) == RESPONDING
    }

    pub(crate) fn is_reading(&self) -> bool {
        self.phase.load(Ordering::Acquire) == READING
    }
}

/// Ends the response phase when the body of the response is dropped.
pub(crate) struct PhaseGuard(pub(crate) ExchangePhase);

impl Drop for PhaseGuard {
    fn drop(&mut self) {
        self.0.end_response();
    }
}
