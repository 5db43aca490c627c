use std::time::Duration;

use ragwortroad_types::prelude::*;

/// Parameters of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed per window, over the whole fleet.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Default for BudgetSettings {
    /// Allows retries for a fifth of the requests, as is common for such budgets, and no slack.
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 0.0,
            window: Duration::from_secs(10),
        }
    }
}

/// Share of the allowance that is used.
///
/// The edges divide the allowance without coordination: each has the exact share of its own
/// requests and an equal part of the slack. The rest covers requests that move between edges within
/// a window.
const USED_RATIO: f64 = 0.7;

/// One edge's part of the retry budget of one service.
///
/// When a service fails, each retry adds load to what is left of it, and retries of retries keep it
/// down, which shows as far more requests than clients have sent. Each request deposits a fraction
/// of a retry, and the balance never exceeds what a window earns, so retries stay within that
/// ratio.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    /// Retries that may be made now.
    ///
    /// Invariant: never negative, and at most half of the edge's part of the slack or
    /// [`MIN_BALANCE_CAP`], whichever is more.
    balance: f64,
    /// When the part of the slack was last added.
    deposited_at: ClockTime,
}

/// Lower bound of the cap on the balance, so that an edge with few requests does not use it up with
/// one failure.
const MIN_BALANCE_CAP: f64 = 2.0;

impl RetryBudget {
    /// Creates the budget of one of `edges` edges at the time `now`.
    pub fn new(settings: BudgetSettings, edges: u32, now: ClockTime) -> Self {
        let budget = Self {
            settings,
            balance: 0.0,
            deposited_at: now,
        };
        Self {
            balance: budget.slack_share(edges) / 2.0,
            ..budget
        }
    }

    /// Adds the share of a retry that a request to the service earns.
    pub fn deposit(&mut self, edges: u32, now: ClockTime) {
        let elapsed = now.since(self.deposited_at).as_secs_f64();
        let window = self.settings.window.as_secs_f64();
        let slack = self.slack_share(edges);
        self.deposited_at = now;
        // Half of the slack can be saved up and half is earned per window, so that no window
        // exceeds the whole slack.
        let earned = self.settings.ratio * USED_RATIO + slack / 2.0 * elapsed / window;
        let cap = (slack / 2.0).max(MIN_BALANCE_CAP);
        self.balance = (self.balance + earned).min(cap);
    }

    /// Takes one retry out of the budget; returns false if there is none.
    pub fn withdraw(&mut self) -> bool {
        let is_allowed = self.balance >= 1.0;
        if is_allowed {
            self.balance -= 1.0;
        }
        is_allowed
    }

    fn slack_share(&self, edges: u32) -> f64 {
        self.settings.slack * USED_RATIO / f64::from(edges.max(1))
    }
}
