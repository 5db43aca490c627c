//! Seeded schedules over the real consensus core and the real log on fakes of disk, clock and
//! messages.

mod world;

use world::{
    SimCounts,
    SimPlan,
    SimWorld, //
};

/// Runs one plan after another with the seeds from 0 on; the environment may ask for more seeds.
fn run_all(title: &str, count: u64, make: impl Fn(u64) -> SimPlan) -> SimCounts {
    let wanted = std::env::var("SCHEDULES").ok();
    let count = wanted
        .and_then(|wanted| wanted.parse().ok())
        .unwrap_or(count);
    let mut counts = SimCounts::default();
    for seed in 0..count {
        let mut world = SimWorld::new(make(seed));
        let breach = world.run();
        counts.add(&world.counts);
        assert_eq!(breach, None, "{title}, seed {seed}");
    }
    counts.print(title);
    counts
}

fn all_faults(seed: u64) -> SimPlan {
    let nodes = [3, 3, 5, 4][seed as usize % 4];
    SimPlan {
        seed,
        nodes,
        founders: nodes.min(3),
        ..SimPlan::default()
    }
}

fn rollbacks(seed: u64) -> SimPlan {
    let nodes = [3, 5][seed as usize % 2];
    SimPlan {
        seed,
        nodes,
        founders: nodes,
        with_lost_disks: false,
        fault_every_ms: 800,
        ..SimPlan::default()
    }
}

/// Members crash, pause, lose messages and disks for a minute at a time. A caller must never see
/// an accepted command vanish, a stale read, or two leaders.
#[test]
fn faults_of_all_kinds_lose_nothing() {
    let counts = run_all("all faults", 40, all_faults);
    assert!(counts.lost_disks > 20 && counts.torn_writes > 20);
}

/// A VM is restored from a backup and starts with a vote and entries missing that it had given
/// its word on. A caller must not notice.
#[test]
fn rolled_back_disks_lose_nothing() {
    let counts = run_all("rollbacks", 20, rollbacks);
    assert!(counts.rollbacks > 20);
}
