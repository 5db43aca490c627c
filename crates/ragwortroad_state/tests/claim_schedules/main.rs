//! Claims under seeded fault schedules: nodes crash, answers are lost, steps are delayed and
//! repeated, time passes, and leaders restart from snapshots. No key may run twice, and no request
//! that was refused as not run may ever run.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod claim_simulation;
#[path = "../common/mod.rs"]
mod common;
mod key_history;

use std::collections::BTreeMap;

use todc_utils::linearizability::{
    WGLChecker,
    history::History, //
};

use claim_simulation::{
    ClaimFault,
    run_simulation, //
};
use key_history::{
    KeySpec,
    key_history, //
};

/// A key could run twice, or an attempt that was reported as not run could run, when steps and
/// answers are lost, delayed or repeated while nodes and leaders fail.
#[test]
fn no_key_runs_twice_and_nothing_refused_ever_runs() {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in 0..200 {
        let simulation = run_simulation(seed, ClaimFault::None, true, 3000);
        assert_eq!(simulation.violation(), None, "seed {seed}");
        for (what, count) in &simulation.counts {
            *counts.entry(what).or_default() += count;
        }
        *counts.entry("keys").or_default() += simulation.keys.len() as u64;
    }
    println!("200 schedules of 3000 steps: {counts:?}");
    assert!(counts["runs"] > 20_000, "too few requests ran: {counts:?}");
}

/// The invariant check must detect each injected fault of nodes and members; otherwise a passing
/// run proves nothing.
#[test]
fn check_detects_each_fault() {
    for fault in [
        ClaimFault::ReleasesAfterSend,
        ClaimFault::SendsBeforeGrant,
        ClaimFault::UsesLateGrant,
        ClaimFault::LosesAccepted,
        ClaimFault::ForgetsSpent,
    ] {
        let simulations = (0..20).map(|seed| run_simulation(seed, fault, true, 3000));
        let detected = simulations
            .filter(|simulation| simulation.violation().is_some())
            .count();
        println!("{fault:?}: detected in {detected} of 20 schedules");
        assert!(
            detected >= 10,
            "{fault:?} detected in {detected} of 20 schedules"
        );
    }
}

/// The outcomes of steps on one key could contradict each other when they arrive late or twice; no
/// sequential order would then explain them.
#[test]
fn claim_histories_are_linearizable() {
    let (mut histories, mut operations) = (0, 0);
    for seed in 0..60 {
        let simulation = run_simulation(seed, ClaimFault::None, false, 400);
        for key in &simulation.keys {
            let actions = key_history(&simulation, key);
            // Longer histories are skipped: the search grows too fast with the number of open
            // operations.
            if actions.is_empty() || actions.len() > 36 {
                continue;
            }
            histories += 1;
            operations += actions.len() / 2;
            let history = History::from_actions(actions);
            assert!(
                WGLChecker::<KeySpec>::is_linearizable(history),
                "seed {seed} {key:?}"
            );
        }
    }
    println!("{operations} operations in {histories} histories of one key each");
    assert!(operations > 5000);
}

/// The linearizability check must detect a leader that lost committed steps.
#[test]
fn history_check_detects_lost_steps() {
    let detected = (0..20).filter(|seed| {
        let simulation = run_simulation(*seed, ClaimFault::LosesAccepted, false, 400);
        let mut histories = simulation
            .keys
            .iter()
            .map(|key| key_history(&simulation, key));
        histories.any(|actions| {
            let checked = !actions.is_empty() && actions.len() <= 36;
            checked && !WGLChecker::<KeySpec>::is_linearizable(History::from_actions(actions))
        })
    });
    let detected = detected.count();
    println!("lost steps detected in {detected} of 20 schedules");
    assert!(detected >= 10);
}
