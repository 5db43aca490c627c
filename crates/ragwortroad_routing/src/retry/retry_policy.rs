use std::time::Duration;

use ragwortroad_types::RequestOutcome;

use crate::RetryBudget;

/// Decides whether a failed attempt is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Most attempts of one request, the first included.
    pub max_attempts: u32,
    /// Time to the deadline below which another attempt is not worth its load.
    pub min_time_left: Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            min_time_left: Duration::from_millis(200),
        }
    }
}

/// A failed attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether the request ran at the endpoint, as far as is known.
    pub outcome: RequestOutcome,
    /// Whether running the request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Attempts made so far, this one included.
    pub attempts: u32,
    /// Time left until the client's deadline.
    pub time_left: Duration,
}

impl RetryPolicy {
    /// Returns whether to retry, and withdraws one retry from `budget` if so.
    ///
    /// A request that is not idempotent is retried only if none of its bytes were sent.
    pub fn may_retry(&self, failed: FailedAttempt, budget: &mut RetryBudget) -> bool {
        let safe_to_repeat = failed.idempotent || failed.outcome == RequestOutcome::NotRun;
        let has_time = failed.time_left >= self.min_time_left;
        safe_to_repeat && has_time && failed.attempts < self.max_attempts && budget.try_retry()
    }
}
