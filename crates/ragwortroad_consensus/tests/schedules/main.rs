//! Runs the real consensus core and log in seeded schedules, with simulated disks, clocks and
//! messages.

mod slow_syncs;
mod world;

use ragwortroad_consensus::{
    CoreSettings,
    InjectedBug, //
};

use world::{
    FaultKind,
    SimCounts,
    SimPlan,
    SimWorld, //
};

/// Runs plans with seeds from 0 up, `SCHEDULES` of them if that variable is set, and with the seeds
/// in `known`, which found faults earlier.
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
        initial_members: nodes.min(3),
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
        initial_members: nodes,
        kinds,
        rollback_percent: 10,
        fault_every_ms: 2000,
        ..SimPlan::default()
    }
}

/// Guards against lost commands, stale reads and two leaders under crashes, pauses and message
/// loss.
#[test]
fn all_fault_kinds_preserve_safety() {
    let known = [37, 52, 201, 386, 1909];
    let counts = run_all("all faults", 28, &known, all_faults);
    assert!(counts.lost_disks > 20 && counts.torn_writes > 20);
}

/// Guards against lost commands and stale reads where each read is confirmed by a quorum.
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

/// Guards against members that are ignored, or whose old votes count, after a step of the clock.
#[test]
fn steps_of_the_time_of_day_preserve_safety() {
    let counts = run_all("clock steps", 28, &[], |seed| SimPlan {
        wall_step_ms: 30_000,
        rollback_percent: 0,
        ..all_faults(seed)
    });
    assert!(counts.lost_disks > 20 && counts.torn_writes > 20);
}

/// Guards against lost commands after a VM was restored from a backup.
#[test]
fn disk_rollbacks_preserve_safety() {
    let counts = run_all("rollbacks", 20, &[172], rollbacks);
    assert!(counts.rollbacks > 60);
}

fn recalls(trust_disk: bool) -> CoreSettings {
    CoreSettings {
        trust_disk,
        recalls_commit: true,
        ..SimPlan::small_limits()
    }
}

/// Guards against a recalled log that is not committed, or older than an accepted command.
#[test]
fn recalled_logs_hold_all_accepted_commands() {
    let counts = run_all("recalls", 28, &[], |seed| SimPlan {
        kinds: vec![
            FaultKind::PowerCut,
            FaultKind::CrashInWrite,
            FaultKind::Kill,
            FaultKind::Partition,
            FaultKind::LostDisk,
            FaultKind::RemoveMember,
        ],
        rollback_percent: 0,
        core: CoreSettings {
            uses_leader_lease: seed % 2 == 0,
            ..recalls(true)
        },
        ..all_faults(seed)
    });
    assert!(counts.recalls > 100 && counts.lost_disks > 20);
}

/// Guards against an old log recalled where disks went back to an older state.
#[test]
fn logs_recalled_from_rolled_back_disks_hold_all_accepted_commands() {
    let counts = run_all("recalls with rollbacks", 20, &[], |seed| SimPlan {
        kinds: vec![
            FaultKind::PowerCut,
            FaultKind::CrashInWrite,
            FaultKind::Kill,
        ],
        core: recalls(false),
        ..rollbacks(seed)
    });
    assert!(counts.recalls > 100 && counts.rollbacks > 60);
}

/// Returns the first violation found with `core` in the plans that `make` returns for 40 seeds.
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

/// Guards against schedules that do not detect an acknowledgement sent before the sync.
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
    println!("effects before the sync: {found:?}");
    assert!(found.is_some());
}

/// Guards against schedules that do not detect a second vote in one term, which a member grants
/// after a restart if the first was not written.
#[test]
fn checker_detects_an_unpersisted_vote() {
    let found = first_violation(&settings_with_bug(InjectedBug::SkipVoteWrite), all_faults);
    println!("unpersisted votes: {found:?}");
    let violation = found.unwrap_or_default();
    assert!(violation.contains("voted twice") || violation.contains("two leaders"));
}

/// Guards against schedules that do not detect two leaders acting at once, because a member voted
/// while a leader could rely on it for its lease.
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

/// Guards against schedules that do not detect a second vote from a rolled-back disk.
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

/// Guards against schedules that do not detect a lease that outlives the next election, because
/// clocks drift more than the settings assume.
#[test]
fn checker_detects_clock_drift_beyond_the_setting() {
    let found = first_violation(&SimPlan::small_limits(), |seed| SimPlan {
        seed,
        drift_ppm: 300_000,
        kinds: vec![FaultKind::Partition],
        client_every_ms: 900,
        ..SimPlan::default()
    });
    println!("clock drift beyond the setting: {found:?}");
    assert!(found.is_some_and(|violation| violation.contains("act as leader at once")));
}
