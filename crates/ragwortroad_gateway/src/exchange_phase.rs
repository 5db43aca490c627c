use std::sync::{
    Arc,
    atomic::{
        AtomicU8,
        Ordering, //
    }, //
};

/// How far a connection is with its present request, shared by its socket and its service.
#[derive(Clone, Default)]
pub(crate) struct ExchangePhase {
    /// Invariant: one of the phase constants.
    phase: Arc<AtomicU8>,
}

/// No request has been read since the last answer was flushed.
const READING: u8 = 0;
/// A request was read and its answer is being made or written.
const RESPONDING: u8 = 1;
/// The answer's last byte was handed to the connection, which may hold it still.
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
            // Another phase: the flush was for something else.
        }
    }

    pub(crate) fn is_responding(&self) -> bool {
        self.phase.load(Ordering::Acquire) == RESPONDING
    }

    pub(crate) fn is_reading(&self) -> bool {
        self.phase.load(Ordering::Acquire) == READING
    }
}

/// Ends the answer's phase when the answer's body is dropped.
pub(crate) struct PhaseGuard(pub(crate) ExchangePhase);

impl Drop for PhaseGuard {
    fn drop(&mut self) {
        self.0.end_response();
    }
}
