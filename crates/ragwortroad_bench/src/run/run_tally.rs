use hdrhistogram::Histogram;

use crate::run::control_bytes::ControlBytes;

/// Counters of a run; reset when the warm-up ends.
#[derive(Clone, Debug)]
pub(crate) struct RunTally {
    pub(crate) arrived: u64,
    pub(crate) completed: u64,
    /// Requests refused because their customer exceeded its limit.
    pub(crate) limited: u64,
    /// Requests refused because no engine had capacity.
    pub(crate) refused: u64,
    /// The part of `refused` from customers that never surge.
    pub(crate) refused_small: u64,
    pub(crate) arrived_small: u64,
    /// Attempts that failed.
    pub(crate) failed: u64,
    pub(crate) retried: u64,
    /// Requests whose client got an error after an engine may have run them.
    pub(crate) lost: u64,
    /// Requests that were interrupted because their node stopped.
    pub(crate) cut: u64,
    /// Prompt blocks that earlier requests of the chat or of its shared prefix had, and the part of
    /// them found in the engine's cache.
    pub(crate) reusable: u64,
    pub(crate) reused: u64,
    /// Requests that ran on another engine than the previous request of their chat.
    pub(crate) moves: u64,
    /// Total time that requests were held for capacity.
    pub(crate) held_ms: u64,
    /// Slot requests sent to homes.
    pub(crate) slot_requests: u64,
    /// Time to first token in milliseconds.
    pub(crate) first_token: Histogram<u64>,
    /// Time to first token in milliseconds, for customers that never surge.
    pub(crate) first_token_small: Histogram<u64>,
    pub(crate) control_bytes: ControlBytes,
}

impl RunTally {
    /// Creates counters at zero.
    pub(crate) fn new() -> Self {
        let mut histogram = Histogram::new_with_bounds(1, 3_600_000, 3)
            .unwrap_or_else(|error| unreachable!("the histogram bounds are invalid: {error}"));
        histogram.auto(true);
        Self {
            arrived: 0,
            completed: 0,
            limited: 0,
            refused: 0,
            refused_small: 0,
            arrived_small: 0,
            failed: 0,
            retried: 0,
            lost: 0,
            cut: 0,
            reusable: 0,
            reused: 0,
            moves: 0,
            held_ms: 0,
            slot_requests: 0,
            first_token: histogram.clone(),
            first_token_small: histogram,
            control_bytes: ControlBytes::default(),
        }
    }
}
