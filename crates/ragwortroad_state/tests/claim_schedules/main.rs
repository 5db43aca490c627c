//! Claims under seeded schedules: nodes crash, answers are lost, steps come late and twice, time
//! passes, leaders restart from snapshots. No key may run twice, and nothing that was refused as
//! not run may ever run.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod claim_world;
#[path = "../common/mod.rs"]
mod common;
mod key_history;

use std::collections::BTreeMap;

use todc_utils::linearizability::{
    WGLChecker,
    history::History, //
};

use claim_world::{
    ClaimFault,
    run_world, //
};
use key_history::{
    KeySpec,
    key_history, //
};

/// Guards against second runs, and runs of what was called not run.
#[test]
fn no_key_runs_twice_and_nothing_refused_ever_runs() {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for seed in 0..200 {
        let world = run_world(seed, ClaimFault::None, true, 3000);
        assert_eq!(world.violation(), None, "seed {seed}");
        for (what, count) in &world.counts {
            *counts.entry(what).or_default() += count;
        }
        *counts.entry("keys").or_default() += world.keys.len() as u64;
    }
    println!("200 schedules of 3000 steps: {counts:?}");
    assert!(
        counts["runs"] > 20_000,
        "the schedules ran too little: {counts:?}"
    );
}

/// The check above is worth something only if it notices nodes and members that go wrong.
#[test]
fn the_check_notices_each_fault() {
    for fault in [
        ClaimFault::ReleasesAfterSend,
        ClaimFault::SendsBeforeGrant,
        ClaimFault::UsesLateGrant,
        ClaimFault::LosesAccepted,
        ClaimFault::ForgetsSpent,
    ] {
        let worlds = (0..20).map(|seed| run_world(seed, fault, true, 3000));
        let noticed = worlds.filter(|world| world.violation().is_some()).count();
        println!("{fault:?}: noticed in {noticed} of 20 schedules");
        assert!(
            noticed >= 10,
            "{fault:?} noticed in {noticed} of 20 schedules"
        );
    }
}

/// Guards against answers on one key that cannot all be true.
#[test]
fn claim_histories_are_linearizable() {
    let (mut histories, mut operations) = (0, 0);
    for seed in 0..60 {
        let world = run_world(seed, ClaimFault::None, false, 400);
        for key in &world.keys {
            let actions = key_history(&world, key);
            // Longer ones are left out: the search grows too fast with operations left open.
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

/// A table that loses accepted steps must be noticed by the history check too.
#[test]
fn the_history_check_notices_lost_steps() {
    let noticed = (0..20).filter(|seed| {
        let world = run_world(*seed, ClaimFault::LosesAccepted, false, 400);
        let mut histories = world.keys.iter().map(|key| key_history(&world, key));
        histories.any(|actions| {
            let checked = !actions.is_empty() && actions.len() <= 36;
            checked && !WGLChecker::<KeySpec>::is_linearizable(History::from_actions(actions))
        })
    });
    let noticed = noticed.count();
    println!("lost steps noticed in {noticed} of 20 schedules");
    assert!(noticed >= 10);
}
