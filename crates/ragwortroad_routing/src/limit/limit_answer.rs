use std::time::Duration;

/// Whether a customer may run one more request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitAnswer {
    /// It may; [`CustomerLimiter::finish`](crate::CustomerLimiter::finish) must follow.
    Admitted {
        /// The engines' scheduling priority.
        priority: u8,
    },
    /// It may not; nothing ran.
    Refused {
        /// When it may ask again.
        retry_after: Duration,
    },
}
