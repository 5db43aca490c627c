//! The retry budget over a whole fleet of edges that do not coordinate.

mod common;

use std::time::Duration;

use common::at;
use ragwortroad_dispatch::prelude::*;
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

const RATIO: f64 = 0.2;
const SLACK: f64 = 58.0;
const WINDOW_MS: u64 = 10_000;

fn settings() -> BudgetSettings {
    BudgetSettings {
        ratio: RATIO,
        slack: SLACK,
        window: Duration::from_millis(WINDOW_MS),
    }
}

/// Guards against retries beyond the fleet's budget, and against no retries at all.
#[test]
fn retries_in_an_outage_stay_within_the_budget_of_the_fleet() {
    for (seed, edges, per_second) in [(1, 9, 60), (2, 9, 200), (3, 65, 250), (4, 2, 20)] {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut budgets: Vec<RetryBudget> = (0..edges)
            .map(|_| RetryBudget::new(settings(), edges, at(0)))
            .collect();
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for ms in 0..60_000_u64 {
            if !rng.random_bool(f64::from(per_second) / 1000.0) {
                continue;
            }
            // Half of the clients use one edge.
            let edge = match rng.random_bool(0.5) {
                true => 0,
                false => rng.random_range(0..edges) as usize,
            };
            requests.push(ms);
            budgets[edge].deposit(edges, at(ms));
            if budgets[edge].withdraw() {
                retries.push(ms);
            }
        }
        for start in (0..50_000).step_by(250) {
            let within = |times: &[u64]| {
                let window = start..start + WINDOW_MS;
                times.iter().filter(|ms| window.contains(ms)).count() as f64
            };
            let allowed = RATIO * within(&requests) + SLACK;
            assert!(
                within(&retries) <= allowed,
                "{} of {allowed}",
                within(&retries)
            );
        }
        let share = retries.len() as f64 / requests.len() as f64;
        assert!(share > 0.1, "only {share} of the requests were retried");
    }
}

/// Guards against an edge that starts in an outage and retries without having earned it; a few
/// retries are allowed.
#[test]
fn a_new_budget_allows_little() {
    let mut budget = RetryBudget::new(settings(), 9, at(0));
    let spent = (0..100).filter(|_| budget.withdraw()).count();
    assert!((1..=6).contains(&spent), "{spent}");
}
