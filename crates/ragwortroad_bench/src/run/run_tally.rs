use hdrhistogram::Histogram;

use crate::run::control_bytes::ControlBytes;

/// What is counted in the measured time of a run.
#[derive(Clone, Debug)]
pub(crate) struct RunTally {
    pub(crate) arrived: u64,
    pub(crate) completed: u64,
    /// Refused because of the customer's own limit.
    pub(crate) limited: u64,
    /// Refused because no engine had room.
    pub(crate) refused: u64,
    /// Of these, requests of customers that never surge.
    pub(crate) refused_small: u64,
    pub(crate) arrived_small: u64,
    /// Attempts that failed.
    pub(crate) failed: u64,
    pub(crate) retried: u64,
    /// Requests whose caller got an error after something may have run.
    pub(crate) lost: u64,
    /// Requests cut off with their node.
    pub(crate) cut: u64,
    /// Blocks that had been in some cache before, and how many of them were found.
    pub(crate) reusable: u64,
    pub(crate) reused: u64,
    /// Requests of a chat on another engine than its last.
    pub(crate) moves: u64,
    /// Milliseconds requests were held, together.
    pub(crate) held_ms: u64,
    /// Questions asked of homes.
    pub(crate) asked: u64,
    /// Milliseconds to the first token.
    pub(crate) first_token: Histogram<u64>,
    /// The same for customers that never surge.
    pub(crate) first_token_small: Histogram<u64>,
    pub(crate) control_bytes: ControlBytes,
}

impl RunTally {
    /// Nothing counted.
    pub(crate) fn new() -> Self {
        let mut histogram = Histogram::new_with_bounds(1, 3_600_000, 3)
            .unwrap_or_else(|fault| unreachable!("constant bounds: {fault}"));
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
            asked: 0,
            first_token: histogram.clone(),
            first_token_small: histogram,
            control_bytes: ControlBytes::default(),
        }
    }
}
