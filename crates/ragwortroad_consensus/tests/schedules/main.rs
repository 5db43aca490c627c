//! Seeded schedules over the real consensus core and the real log on fakes of disk, clock and
//! messages.

mod world;

use ragwortroad_consensus::{
    CoreSettings, //
    InjectedBug,
};

use world::{
    FaultKind,
    SimCounts,
    SimPlan,
    SimWorld, //
};

/// Runs plans with the seeds from 0 on, as many as the environment asks for, and those of earlier faults.
fn run_all(title: &str, count: u64, known: &[u64], make: impl Fn(u64) -> SimPlan) -> SimCounts {
    let wanted = std::env::var("SCHEDULES").ok();
    let count = wanted
        .and_then(|wanted| wanted.parse().ok())
        .unwrap_or(count);
    let mut counts = SimCounts::default();
    for seed in (0..count).chain(known.iter().copied()) {
        let mut world = SimWorld::new(make(seed));
        let violation = world.run();
        counts.add(&world.counts);
        assert_eq!(violation, None, "{title}, seed {seed}");
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
        client_every_ms: [60, 900, 15][seed as usize % 3],
        ..SimPlan::default()
    }
}

fn rollbacks(seed: u64) -> SimPlan {
    let nodes = [3, 5][seed as usize % 2];
    let mut kinds = FaultKind::ALL.to_vec();
    kinds.retain(|kind| *kind != FaultKind::LostDisk);
    SimPlan {
        seed,
        nodes,
        founders: nodes,
        kinds,
        rollback_percent: 10,
        fault_every_ms: 2000,
        ..SimPlan::default()
    }
}

/// Guards against lost commands, stale reads and two leaders under crashes, pauses and losses.
#[test]
fn all_fault_kinds_preserve_safety() {
    let known = [37, 52, 201, 386, 1909];
    let counts = run_all("all faults", 28, &known, all_faults);
    assert!(counts.lost_disks > 20 && counts.torn_writes > 20);
}

/// Guards against lost commands and stale reads where each read is proved anew.
#[test]
fn all_fault_kinds_preserve_safety_without_leases() {
    let without_leases = |seed| SimPlan {
        core: CoreSettings {
            uses_leader_lease: false,
            ..SimPlan::small_limits()
        },
        ..all_faults(seed)
    };
    let counts = run_all("all faults, no leases", 28, &[37, 52, 201], without_leases);
    assert!(counts.lost_disks > 20 && counts.torn_writes > 20);
}

/// Guards against lost commands after a VM was restored from a backup.
#[test]
fn disk_rollbacks_preserve_safety() {
    let counts = run_all("rollbacks", 20, &[172], rollbacks);
    assert!(counts.rollbacks > 60);
}

/// The first breach that shows up with `core` under the plans that `make` gives.
fn first_violation(core: &CoreSettings, make: impl Fn(u64) -> SimPlan) -> Option<String> {
    (0..40).find_map(|seed| {
        let plan = make(seed);
        let core = core.clone();
        SimWorld::new(SimPlan { core, ..plan }).run()
    })
}

fn settings_with_bug(bug: InjectedBug) -> CoreSettings {
    CoreSettings {
        injected_bug: Some(bug),
        ..SimPlan::small_limits()
    }
}

/// Guards against schedules that do not notice an acknowledgement before the sync.
#[test]
fn checker_detects_acks_before_sync() {
    let found = first_violation(&settings_with_bug(InjectedBug::ActBeforeSync), |seed| {
        SimPlan {
            seed,
            kinds: vec![FaultKind::PowerCut],
            slow_write_percent: 50,
            client_every_ms: 15,
            ..SimPlan::default()
        }
    });
    println!("acting before the sync: {found:?}");
    assert!(found.is_some());
}

/// Had a member not written its vote, it would give another one after a restart.
#[test]
fn checker_detects_an_unpersisted_vote() {
    let found = first_violation(&settings_with_bug(InjectedBug::SkipVoteWrite), all_faults);
    println!("unwritten votes: {found:?}");
    let violation = found.unwrap_or_default();
    assert!(violation.contains("voted twice") || violation.contains("two leaders"));
}

/// Had a member voted while a leader may rely on it, two leaders would give orders at once.
#[test]
fn checker_detects_a_vote_within_the_lease() {
    let found = first_violation(&settings_with_bug(InjectedBug::VoteWithinLease), |seed| {
        SimPlan {
            seed,
            kinds: vec![FaultKind::Partition],
            client_every_ms: 900,
            ..SimPlan::default()
        }
    });
    println!("votes within the lease: {found:?}");
    assert!(found.is_some_and(|violation| violation.contains("act as leader at once")));
}

/// Guards against schedules that do not notice a second vote from a rolled-back disk.
#[test]
fn checker_detects_a_trusted_rolled_back_disk() {
    let core = CoreSettings {
        trust_disk: true,
        ..SimPlan::small_limits()
    };
    let found = first_violation(&core, rollbacks);
    println!("trust in rolled-back disks: {found:?}");
    assert!(found.is_some());
}

/// Guards against schedules that do not notice a lease that outlives the next election.
#[test]
fn checker_detects_clock_drift_beyond_the_setting() {
    let found = first_violation(&SimPlan::small_limits(), |seed| SimPlan {
        seed,
        drift_ppm: 300_000,
        kinds: vec![FaultKind::Partition],
        client_every_ms: 900,
        ..SimPlan::default()
    });
    println!("drift beyond the setting: {found:?}");
    assert!(found.is_some_and(|violation| violation.contains("act as leader at once")));
}
