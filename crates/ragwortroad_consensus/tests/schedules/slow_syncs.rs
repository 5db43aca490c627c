//! Elections after a common restart while syncs take long.

use std::{
    ops::Range,
    time::Duration, //
};

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

fn plan(seed: u64) -> SimPlan {
    SimPlan {
        seed,
        nodes: VOTERS,
        initial_members: VOTERS,
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

/// Restarts all voters at once but two, and returns the time until one of them leads.
fn time_to_leader(seed: u64, sync_us: Range<u64>) -> Option<u64> {
    let mut world = SimWorld::new(plan(seed));
    world.run_until(SETTLE_US);
    world.sync_us = Some(sync_us);
    for node in 0..VOTERS {
        world.stop(node);
    }
    for node in 0..SURVIVORS {
        world.start(node);
    }
    let back_at = world.now_us;
    while world.now_us < back_at + RECOVERY_US {
        if world
            .nodes
            .iter()
            .filter_map(|node| node.core())
            .any(ConsensusCore::is_leader)
        {
            return Some(world.now_us - back_at);
        }
        let next = world.now_us + STEP_US;
        world.run_until(next);
    }
    None
}

/// Guards against elections that are given up before the votes of slow disks have arrived.
#[test]
fn a_restarted_group_elects_a_leader_although_syncs_are_slow() {
    let mut failed = Vec::new();
    for sync_ms in [2, 50, 150, 300, 600, 1000] {
        let sync_us = sync_ms * 500..sync_ms * 1500;
        let times: Vec<_> = (0..20)
            .map(|seed| time_to_leader(seed, sync_us.clone()))
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
