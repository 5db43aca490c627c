/// Limits a node's retries to a fraction of its first attempts.
///
/// Without a budget every layer that retries multiplies an outage: three attempts each triple the
/// load just when the fleet can carry least. Each first attempt deposits a fraction of a retry and
/// each retry withdraws one, so that a node adds at most `ratio` to the load of its first attempts,
/// and `reserve` retries once.
///
/// ```
/// use ragwortroad_routing::RetryBudget;
///
/// let mut budget = RetryBudget::new(0.1, 2);
/// assert!(budget.try_retry() && budget.try_retry());
/// assert!(!budget.try_retry());
/// for _ in 0..10 {
///     budget.record_first_attempt();
/// }
/// assert!(budget.try_retry());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Available retries, in units of 1/1000 retry. Invariant: at most `max_balance`.
    balance: u64,
    /// Units that each first attempt adds.
    deposit: u64,
    max_balance: u64,
}

/// Units into which one retry is divided.
const UNITS_PER_RETRY: u64 = 1000;

impl RetryBudget {
    /// Creates a full budget of `ratio` retries per first attempt that holds at most `reserve`
    /// retries.
    pub fn new(ratio: f64, reserve: u32) -> Self {
        let max_balance = u64::from(reserve) * UNITS_PER_RETRY;
        Self {
            balance: max_balance,
            deposit: (ratio.clamp(0.0, 1.0) * UNITS_PER_RETRY as f64).round() as u64,
            max_balance,
        }
    }

    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self) {
        self.balance = (self.balance + self.deposit).min(self.max_balance);
    }

    /// Withdraws one retry; `false` where the balance is too low.
    pub fn try_retry(&mut self) -> bool {
        match self.balance.checked_sub(UNITS_PER_RETRY) {
            Some(rest) => {
                self.balance = rest;
                true
            }
            None => false,
        }
    }
}
