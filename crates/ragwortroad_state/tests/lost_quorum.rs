//! Nodes that go on by members' promises while there is no leader.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use common::SeededDraw;
use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

const MEMBERS: u64 = 5;
const QUORUM: usize = 3;
const DRIFT_PPM: u64 = 50_000;

/// A fault of a member or node, which the check must notice.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PromiseFault {
    None,
    /// A member writes a change into its log in spite of its promise.
    WritesAnyway,
    /// A restarted member does not know that it promised.
    ForgetsAtRestart,
    /// A member promises although its log has a newer change.
    IgnoresLog,
    /// The node goes on with one promise too few.
    TooFewMembers,
}

struct PromiseMember {
    rate: u64,
    book: PromiseTracker,
    log_revision: u64,
}

struct PromiseNode {
    rate: u64,
    guard: StalenessGuard,
}

fn read(rate: u64, true_ms: u64) -> ClockTime {
    ClockTime(true_ms * rate / 1_000_000)
}

/// Gives the looks at which a node admitted work by promises, the changes accepted, and whether one did so while a
/// change that it does not have was accepted.
fn run_quorum(seed: u64, fault: PromiseFault) -> (u64, u64, bool) {
    let mut draw = SeededDraw::new(seed);
    let timing = FollowTiming {
        drift_ppm: DRIFT_PPM as u32,
        ..FollowTiming::default()
    };
    let mut rate = || 1_000_000 - DRIFT_PPM + draw.below(2 * DRIFT_PPM + 1);
    let member = |rate| PromiseMember {
        rate,
        book: PromiseTracker::new(timing, ClockTime(0)),
        log_revision: 1,
    };
    let mut members: Vec<PromiseMember> = (0..MEMBERS).map(|_| member(rate())).collect();
    let node = |rate| PromiseNode {
        rate,
        guard: StalenessGuard::default(),
    };
    let mut nodes: Vec<PromiseNode> = (0..3).map(|_| node(rate())).collect();
    let known = if fault == PromiseFault::TooFewMembers {
        MEMBERS - 2
    } else {
        MEMBERS
    };
    let all: BTreeSet<NodeId> = (0..known).map(NodeId).collect();
    let mut answers: Vec<(u64, usize, u64, NodeId, u64, Duration)> = Vec::new();
    let (mut true_ms, mut accepted, mut looks, mut quiet_until) = (10_000, 1, 0, 0);
    for node in &mut nodes {
        // Each had a leader once; its lease is long over.
        let ask = node.guard.start_lease_request(ClockTime(0));
        node.guard.record_adoption(1);
        node.guard.record_grant(ask, 1, Duration::from_millis(1));
    }
    for _ in 0..1500 {
        true_ms += draw.below(80);
        let place = draw.below(MEMBERS) as usize;
        if draw.below(200) == 0 {
            quiet_until = true_ms + draw.below(20_000);
        }
        match draw.below(40) {
            // A node asks a member; the answer is quick, late or lost.
            0..=29 if true_ms >= quiet_until => {
                let asker = draw.below(3) as usize;
                let node = &mut nodes[asker];
                let ask = node.guard.start_lease_request(read(node.rate, true_ms));
                let slow = draw.chance(20);
                let arrives = true_ms + draw.below(if slow { 3000 } else { 100 });
                let member = &mut members[place];
                let revision = node.guard.revision();
                let log_revision = match fault {
                    PromiseFault::IgnoresLog => revision,
                    _ => member.log_revision,
                };
                let now = read(member.rate, true_ms);
                let promise = member.book.promise(now, revision, log_revision, false);
                if let Some(lease) = promise
                    && draw.chance(80)
                {
                    answers.push((arrives, asker, ask, NodeId(place as u64), revision, lease));
                }
            }
            // Someone who would lead writes a change to some members.
            30 => {
                let next = accepted + 1;
                let reached = (0..MEMBERS as usize).filter(|_| draw.chance(60));
                let reached: Vec<usize> = reached.collect();
                for place in reached {
                    let member = &mut members[place];
                    let open = member.book.may_write(read(member.rate, true_ms)).is_ok();
                    if open || fault == PromiseFault::WritesAnyway {
                        member.log_revision = next;
                    }
                }
                let written = members.iter().filter(|member| member.log_revision >= next);
                if written.count() >= QUORUM {
                    accepted = next;
                }
            }
            31 => {
                let now = read(members[place].rate, true_ms);
                let started = match fault {
                    PromiseFault::ForgetsAtRestart => ClockTime(0),
                    _ => now,
                };
                members[place].book = PromiseTracker::new(timing, started);
            }
            // A node gets the newest configuration, and no lease with it.
            32 => nodes[draw.below(3) as usize]
                .guard
                .record_adoption(accepted),
            _ => answers.retain(|(at, asker, ask, member, revision, lease)| {
                if *at > true_ms {
                    return true;
                }
                let guard = &mut nodes[*asker].guard;
                guard.record_promise(*ask, *member, *revision, all.clone(), *lease);
                false
            }),
        }
        for node in &nodes {
            let admits = node.guard.may_admit(read(node.rate, true_ms)).is_ok();
            looks += u64::from(admits);
            if admits && node.guard.revision() < accepted {
                return (looks, accepted, true);
            }
        }
    }
    (looks, accepted, false)
}

/// Guards against changes that are accepted while a node goes on without them.
#[test]
fn nothing_is_accepted_behind_a_node_that_goes_on_by_promises() {
    let (mut looks, mut changes) = (0, 0);
    for seed in 0..150 {
        let (admitted, accepted, broken) = run_quorum(seed, PromiseFault::None);
        assert!(!broken, "seed {seed}");
        looks += admitted;
        changes += accepted;
    }
    println!(
        "150 schedules of 3000 steps, {changes} changes accepted, nodes admitting at {looks} of \
         1350000 looks"
    );
    assert!(looks > 100_000 && changes > 1000);
}

/// The check above is worth something only if it notices what goes wrong.
#[test]
fn the_check_notices_each_fault() {
    for fault in [
        PromiseFault::WritesAnyway,
        PromiseFault::ForgetsAtRestart,
        PromiseFault::IgnoresLog,
        PromiseFault::TooFewMembers,
    ] {
        let noticed = (0..60).filter(|seed| run_quorum(*seed, fault).2).count();
        println!("{fault:?}: noticed in {noticed} of 60 schedules");
        assert!(
            noticed >= 10,
            "{fault:?}: noticed in {noticed} of 60 schedules"
        );
    }
}
