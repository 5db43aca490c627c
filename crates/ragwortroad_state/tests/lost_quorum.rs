//! Nodes that admit work by members' promises while there is no leader.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use common::SeededRng;
use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

const MEMBERS: u64 = 5;
const QUORUM: usize = 3;
const DRIFT_PPM: u64 = 50_000;

/// A fault injected into a member or node, which the check must detect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PromiseFault {
    None,
    /// A member writes a change to its log in spite of its promise.
    WritesAnyway,
    /// A restarted member forgets its promises.
    ForgetsAtRestart,
    /// A member promises although its log has a newer change.
    IgnoresLog,
    /// The node admits work with one promise too few.
    TooFewMembers,
}

struct PromiseMember {
    rate: u64,
    tracker: PromiseTracker,
    log_revision: u64,
}

struct PromiseNode {
    rate: u64,
    guard: StalenessGuard,
}

fn read(rate: u64, real_ms: u64) -> ClockTime {
    ClockTime(real_ms * rate / 1_000_000)
}

/// Returns the number of checks at which a node admitted work, the accepted revision, and whether a
/// node admitted work while a change that it does not have was accepted.
fn run_simulation(seed: u64, fault: PromiseFault) -> (u64, u64, bool) {
    let mut rng = SeededRng::new(seed);
    let timing = FollowTiming {
        drift_ppm: DRIFT_PPM as u32,
        ..FollowTiming::default()
    };
    let mut rate = || 1_000_000 - DRIFT_PPM + rng.below(2 * DRIFT_PPM + 1);
    let member = |rate| PromiseMember {
        rate,
        tracker: PromiseTracker::new(timing, ClockTime(0)),
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
    let (mut real_ms, mut accepted, mut admissions, mut silent_until) = (10_000, 1, 0, 0);
    for node in &mut nodes {
        // Each node had a lease from a leader that expired long ago.
        let request_number = node.guard.start_lease_request(ClockTime(0));
        node.guard.record_adoption(1);
        node.guard
            .record_grant(request_number, 1, Duration::from_millis(1));
    }
    for _ in 0..1500 {
        real_ms += rng.below(80);
        let member_index = rng.below(MEMBERS) as usize;
        if rng.below(200) == 0 {
            silent_until = real_ms + rng.below(20_000);
        }
        match rng.below(40) {
            // A node requests a promise; the answer is fast, delayed or lost.
            0..=29 if real_ms >= silent_until => {
                let node_index = rng.below(3) as usize;
                let node = &mut nodes[node_index];
                let request_number = node.guard.start_lease_request(read(node.rate, real_ms));
                let slow = rng.chance(20);
                let arrives = real_ms + rng.below(if slow { 3000 } else { 100 });
                let member = &mut members[member_index];
                let revision = node.guard.revision();
                let log_revision = match fault {
                    PromiseFault::IgnoresLog => revision,
                    _ => member.log_revision,
                };
                let now = read(member.rate, real_ms);
                let promise = member.tracker.promise(now, revision, log_revision, false);
                if let Some(lease) = promise
                    && rng.chance(80)
                {
                    answers.push((
                        arrives,
                        node_index,
                        request_number,
                        NodeId(member_index as u64),
                        revision,
                        lease,
                    ));
                }
            }
            // A candidate leader writes a change to some members.
            30 => {
                let next = accepted + 1;
                let reached = (0..MEMBERS as usize).filter(|_| rng.chance(60));
                let reached: Vec<usize> = reached.collect();
                for member_index in reached {
                    let member = &mut members[member_index];
                    let open = member.tracker.may_write(read(member.rate, real_ms)).is_ok();
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
                let now = read(members[member_index].rate, real_ms);
                let started = match fault {
                    PromiseFault::ForgetsAtRestart => ClockTime(0),
                    _ => now,
                };
                members[member_index].tracker = PromiseTracker::new(timing, started);
            }
            // A node receives the newest configuration, without a lease.
            32 => nodes[rng.below(3) as usize].guard.record_adoption(accepted),
            _ => answers.retain(
                |(at, node_index, request_number, member, revision, lease)| {
                    if *at > real_ms {
                        return true;
                    }
                    let guard = &mut nodes[*node_index].guard;
                    guard.record_promise(*request_number, *member, *revision, all.clone(), *lease);
                    false
                },
            ),
        }
        for node in &nodes {
            let admits = node.guard.may_admit(read(node.rate, real_ms)).is_ok();
            admissions += u64::from(admits);
            if admits && node.guard.revision() < accepted {
                return (admissions, accepted, true);
            }
        }
    }
    (admissions, accepted, false)
}

/// A change could be accepted while a node that has promises of enough members admits work without
/// it, when clocks drift, members restart, or answers are delayed.
#[test]
fn no_change_is_accepted_while_a_node_admits_by_promises() {
    let (mut admissions, mut changes) = (0, 0);
    for seed in 0..150 {
        let (admitted, accepted, is_violated) = run_simulation(seed, PromiseFault::None);
        assert!(!is_violated, "seed {seed}");
        admissions += admitted;
        changes += accepted;
    }
    println!(
        "150 schedules of 3000 steps, {changes} changes accepted, nodes admitting at {admissions} \
         of 1350000 checks"
    );
    assert!(admissions > 100_000 && changes > 1000);
}

/// The check must detect each injected fault; otherwise a passing run proves nothing.
#[test]
fn check_detects_each_fault() {
    for fault in [
        PromiseFault::WritesAnyway,
        PromiseFault::ForgetsAtRestart,
        PromiseFault::IgnoresLog,
        PromiseFault::TooFewMembers,
    ] {
        let detected = (0..60)
            .filter(|seed| run_simulation(*seed, fault).2)
            .count();
        println!("{fault:?}: detected in {detected} of 60 schedules");
        assert!(
            detected >= 10,
            "{fault:?}: detected in {detected} of 60 schedules"
        );
    }
}
