/// How many retries a node may make, as a ratio of its first attempts.
///
/// Without a budget every layer that retries multiplies an outage: three attempts each make three
/// times the load just when the fleet can carry least. Retries are paid from what successes and
/// first attempts balance up, so that a node adds at most `ratio` to the load of its first attempts,
/// and `reserve` on top once.
///
/// ```
/// use ragwortroad_routing::RetryBudget;
///
/// let mut budget = RetryBudget::new(0.1, 2);
/// assert!(budget.try_retry() && budget.try_retry());
/// assert!(!budget.try_retry());
/// for _ in 0..10 {
///     budget.note_first();
/// }
/// assert!(budget.try_retry());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Thousandths of a retry balance up. Invariant: at most `max_balance`.
    balance: u64,
    /// Thousandths earned by each first attempt.
    deposit: u64,
    max_balance: u64,
}

/// Parts into which one retry is divided.
const UNITS_PER_RETRY: u64 = 1000;

impl RetryBudget {
    /// A budget of `ratio` retries for each first attempt and at most `reserve` balance up.
    pub fn new(ratio: f64, reserve: u32) -> Self {
        let max_balance = u64::from(reserve) * UNITS_PER_RETRY;
        Self {
            balance: max_balance,
            deposit: (ratio.clamp(0.0, 1.0) * UNITS_PER_RETRY as f64).round() as u64,
            max_balance,
        }
    }

    /// Notes a request's first attempt.
    pub fn record_first_attempt(&mut self) {
        self.balance = (self.balance + self.deposit).min(self.max_balance);
    }

    /// Pays for one retry, if enough is balance.
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
