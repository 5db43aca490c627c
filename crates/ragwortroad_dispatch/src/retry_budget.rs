use std::time::Duration;

use ragwortroad_types::prelude::*;

/// Figures of the budget for sending requests once more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beyond that in each window, over the whole fleet.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Default for BudgetSettings {
    /// A fifth of the requests, as is common for such budgets, and no slack.
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 0.0,
            window: Duration::from_secs(10),
        }
    }
}

/// Part of the allowance that is used.
///
/// The edges divide the allowance without a message: each has its own requests' share exactly and
/// an equal part of the slack. The rest covers requests that move between edges within a window.
const USED_PART: f64 = 0.7;

/// One edge's part of one service's budget for sending requests once more.
///
/// When a service fails, each repeat is more load on what is left of it, and repeats of repeats
/// keep it down; one notices arrivals far above the callers' requests. The budget earns a part of a
/// repeat with each request and holds no more than a window earns, so repeats stay that part.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    /// Repeats that may be made now.
    ///
    /// Invariant: between 0 and `most`.
    balance: f64,
    /// When the slack's part was added last.
    filled_at: ClockTime,
}

/// Repeats that an edge with few requests may save up, so that one failure does not use it up.
const LEAST_SAVING: f64 = 2.0;

impl RetryBudget {
    /// A budget at the time `now`, for one of `edges`.
    pub fn new(settings: BudgetSettings, edges: u32, now: ClockTime) -> Self {
        let budget = Self {
            settings,
            balance: 0.0,
            filled_at: now,
        };
        Self {
            balance: budget.slack_part(edges) / 2.0,
            ..budget
        }
    }

    /// Notes a request that came for the service.
    pub fn deposit(&mut self, edges: u32, now: ClockTime) {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        let window = self.settings.window.as_secs_f64();
        let slack = self.slack_part(edges);
        self.filled_at = now;
        // Half of the slack may be saved and half is earned in a window, so that a window never
        // sees more than the whole.
        let earned = self.settings.ratio * USED_PART + slack / 2.0 * elapsed / window;
        let most = (slack / 2.0).max(LEAST_SAVING);
        self.balance = (self.balance + earned).min(most);
    }

    /// Takes one repeat out, if there is one.
    pub fn withdraw(&mut self) -> bool {
        let has_one = self.balance >= 1.0;
        if has_one {
            self.balance -= 1.0;
        }
        has_one
    }

    fn slack_part(&self, edges: u32) -> f64 {
        self.settings.slack * USED_PART / f64::from(edges.max(1))
    }
}
