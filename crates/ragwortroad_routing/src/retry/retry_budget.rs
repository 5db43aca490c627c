/// How many retries a node may make, as a share of its first attempts.
///
/// Without a budget every layer that retries multiplies an outage: three attempts each make three
/// times the load just when the fleet can carry least. Retries are paid from what successes and
/// first attempts saved up, so that a node adds at most `share` to the load of its first attempts,
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
    /// Thousandths of a retry saved up. Invariant: at most `ceiling`.
    saved: u64,
    /// Thousandths earned by each first attempt.
    earning: u64,
    ceiling: u64,
}

/// Parts into which one retry is divided.
const PARTS: u64 = 1000;

impl RetryBudget {
    /// A budget of `share` retries for each first attempt and at most `reserve` saved up.
    pub fn new(share: f64, reserve: u32) -> Self {
        let ceiling = u64::from(reserve) * PARTS;
        Self {
            saved: ceiling,
            earning: (share.clamp(0.0, 1.0) * PARTS as f64).round() as u64,
            ceiling,
        }
    }

    /// Notes a request's first attempt.
    pub fn record_first_attempt(&mut self) {
        self.saved = (self.saved + self.earning).min(self.ceiling);
    }

    /// Pays for one retry, if enough is saved.
    pub fn try_retry(&mut self) -> bool {
        match self.saved.checked_sub(PARTS) {
            Some(rest) => {
                self.saved = rest;
                true
            }
            None => false,
        }
    }
}
