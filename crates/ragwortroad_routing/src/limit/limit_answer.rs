use std::time::Duration;

/// Whether a customer may run one more request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitAnswer {
    /// The request may run; [`CustomerLimiter::finish`](crate::CustomerLimiter::finish) must
    /// follow.
    Admitted {
        /// Scheduling priority at the engines; smaller values are served first.
        priority: u8,
    },
    /// The request was refused and did not run.
    Refused {
        /// How long the client should wait before it retries.
        retry_after: Duration,
    },
}
