//! Elections after a common restart while syncs take long.

use std::time::Duration;

use ragwortroad_consensus::prelude::*;

use crate::world::{
    SimPlan,
    SimWorld, //
};

/// Voters of the group, two of which lose their disks.
const VOTERS: usize = 9;

/// Voters that come back.
const SURVIVORS: usize = 7;

/// Time in which a group whose voters are back must have a leader.
const RECOVERY_US: u64 = 12_000_000;

/// Time in which a new group settles.
const SETTLE_US: u64 = 20_000_000;

/// Interval at which the world is inspected.
const STEP_US: u64 = 10_000;

fn plan(seed: u64, voters: usize) -> SimPlan {
    SimPlan {
        seed,
        nodes: voters,
        initial_members: voters,
        loss_percent: 0,
        duplicate_percent: 0,
        late_percent: 0,
        slow_write_percent: 0,
        client_every_ms: 1000,
        fault_every_ms: 10_000_000,
        rollback_percent: 0,
        core: CoreSettings {
            election_timeout: Duration::from_millis(700),
            heartbeat_interval: Duration::from_millis(150),
            resend_after: Duration::from_millis(1500),
            trust_disk: true,
            uses_leader_lease: false,
            recalls_commit: true,
            ..CoreSettings::default()
        },
        ..SimPlan::default()
    }
}

/// Runs until a voter leads, and returns the time that it took; `None` beyond `limit_us`.
fn time_to_leader(world: &mut SimWorld, limit_us: u64) -> Option<u64> {
    let started_at = world.now_us;
    while world.now_us < started_at + limit_us {
        assert_eq!(world.checker.violation, None);
        if leading_node(world).is_some() {
            return Some(world.now_us - started_at);
        }
        let next = world.now_us + STEP_US;
        world.run_until(next);
    }
    None
}

fn leading_node(world: &SimWorld) -> Option<usize> {
    let mut nodes = world.nodes.iter();
    nodes.position(|node| node.core().is_some_and(ConsensusCore::is_leader))
}

/// Restarts the first `survivors` of a settled group at once.
fn restart(world: &mut SimWorld, survivors: usize) {
    for node in 0..world.nodes.len() {
        world.stop(node);
    }
    for node in 0..survivors {
        world.start(node);
    }
}

fn settled(seed: u64, voters: usize) -> SimWorld {
    let mut world = SimWorld::new(plan(seed, voters));
    world.run_until(SETTLE_US);
    world
}

/// Asserts that a voter leads with each of twenty seeds.
fn assert_elected(is_elected: impl Fn(u64) -> bool) {
    let late: Vec<u64> = (0..20).filter(|seed| !is_elected(*seed)).collect();
    assert!(late.is_empty(), "no leader in time with seeds {late:?}");
}

/// Guards against elections that are given up before the votes of slow disks have arrived.
#[test]
fn a_restarted_group_elects_a_leader_although_syncs_are_slow() {
    let mut failed = Vec::new();
    for sync_ms in [2, 50, 150, 300, 600, 1000] {
        let sync_us = sync_ms * 500..sync_ms * 1500;
        let times: Vec<_> = (0..20)
            .map(|seed| {
                let mut world = settled(seed, VOTERS);
                world.sync_us = Some(sync_us.clone());
                restart(&mut world, SURVIVORS);
                time_to_leader(&mut world, RECOVERY_US)
            })
            .collect();
        let elected: Vec<u64> = times.iter().flatten().map(|us| us / 1000).collect();
        let mean = elected.iter().sum::<u64>() / elected.len().max(1) as u64;
        let longest = elected.iter().max();
        println!(
            "syncs of {sync_ms} ms: {} of 20 elect, {mean} ms on average, {longest:?} at most",
            elected.len()
        );
        let late = times.iter().enumerate().filter(|(_, time)| time.is_none());
        failed.extend(late.map(|(seed, _)| (sync_ms, seed)));
    }
    assert!(failed.is_empty(), "no leader, (ms, seed): {failed:?}");
}

/// Guards against elections that never end because one disk is quicker than the others.
#[test]
fn one_quick_disk_among_slow_ones_does_not_keep_a_group_from_electing() {
    assert_elected(|seed| {
        let mut world = settled(seed, VOTERS);
        world.sync_us = Some(1_000_000..3_000_000);
        world.node_sync_us.insert(4, 1000..3000);
        restart(&mut world, 5);
        time_to_leader(&mut world, 20_000_000).is_some()
    });
}

/// Guards against a member that is heard, and hears nobody, holding up the elections of the others.
#[test]
fn a_member_that_hears_nobody_does_not_keep_the_others_from_electing() {
    assert_elected(|seed| {
        let mut world = settled(seed, 5);
        world.sync_us = Some(150_000..450_000);
        restart(&mut world, 4);
        world.partitions.extend((0..3).map(|node| (node, 3)));
        time_to_leader(&mut world, 30_000_000).is_some()
    });
}

/// Guards against elections that wait for syncs as long as one that ended long ago.
#[test]
fn disks_that_were_slow_once_do_not_delay_a_later_election() {
    assert_elected(|seed| {
        let mut world = settled(seed, VOTERS);
        world.plan.client_every_ms = 10_000_000;
        world.sync_us = Some(2_000_000..2_000_001);
        world.run_until(SETTLE_US + 10_000_000);
        world.sync_us = Some(1000..3000);
        world.run_until(SETTLE_US + 40_000_000);
        let Some(leader) = leading_node(&world) else {
            return false;
        };
        world.stop(leader);
        let terms = |world: &SimWorld| -> Vec<u64> {
            let cores = world.nodes.iter().map(|node| node.core());
            cores
                .map(|core| core.map_or(0, ConsensusCore::term))
                .collect()
        };
        let former = terms(&world).into_iter().max().unwrap_or(0);
        let candidate = loop {
            let found = terms(&world).iter().position(|term| *term > former);
            if let Some(found) = found {
                break found;
            }
            let next = world.now_us + 1000;
            world.run_until(next);
        };
        world.stop(candidate);
        time_to_leader(&mut world, 5_000_000).is_some()
    });
}

/// Guards against members that ignore each other after the time of day went back.
#[test]
fn a_group_whose_clocks_went_back_elects_a_leader() {
    assert_elected(|seed| {
        let mut world = settled(seed, VOTERS);
        restart(&mut world, VOTERS);
        world.run_until(SETTLE_US + 1_000_000);
        world.clock_step_us = 3_000_000;
        restart(&mut world, SURVIVORS);
        time_to_leader(&mut world, RECOVERY_US).is_some()
    });
}

/// Whether a leader has committed an entry of its own, after which it answers reads.
fn has_committed_own(core: &ConsensusCore) -> bool {
    let before = core.commit_index().saturating_sub(1);
    let entries = core.committed_after(before, usize::MAX);
    let last = entries.and_then(<[_]>::last);
    core.is_leader() && last.is_some_and(|entry| entry.term == core.term())
}

/// Guards against leaders that lose their term to a rival before they have committed anything.
#[test]
fn a_leader_answers_reads_although_syncs_are_uneven() {
    assert_elected(|seed| {
        let mut world = settled(seed, VOTERS);
        world.sync_us = Some(50_000..2_000_000);
        world.is_sync_uneven = true;
        restart(&mut world, SURVIVORS);
        let restarted_at = world.now_us;
        while world.now_us < restarted_at + RECOVERY_US {
            let next = world.now_us + STEP_US;
            world.run_until(next);
            assert_eq!(world.checker.violation, None);
            let mut cores = world.nodes.iter().filter_map(|node| node.core());
            if cores.any(has_committed_own) {
                return true;
            }
        }
        false
    });
}
