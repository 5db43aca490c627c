//! Seeded runs of the group of registries from its first start on: losses of power and of disks,
//! changes of its members, cuts.

mod group_faults;
mod group_node;
mod group_world;

use std::ops::RangeInclusive;

use ragwortroad_dispatch::prelude::*;
use rand::RngExt;

use group_faults::GroupFault;
use group_world::{
    GroupPlan,
    GroupTimes,
    GroupWorld, //
};

/// Variable with the number of seeds of each site.
const RUNS_VARIABLE: &str = "GROUP_RUNS";

/// Variable with the only seed to run.
const SEED_VARIABLE: &str = "GROUP_SEED";

/// Time in which a new group acknowledges a command.
const FIRST_COMMAND_LIMIT_MS: u64 = 30_000;

/// A site by its registries and the disks that it may lose at the same time.
#[derive(Clone, Copy, Debug)]
struct TestSite {
    registries: usize,
    lost_disks: usize,
}

const SITES: [TestSite; 5] = [site(3, 1), site(5, 1), site(6, 2), site(9, 2), site(12, 2)];

const fn site(registries: usize, lost_disks: usize) -> TestSite {
    TestSite {
        registries,
        lost_disks,
    }
}

/// Time that a sync takes, in milliseconds.
const QUICK_SYNCS: RangeInclusive<u64> = 1..=8;

const SLOW_SYNCS: RangeInclusive<u64> = 100..=600;

/// Time that a machine counts as lost after it is back.
const CATCH_UP_MS: u64 = 4000;

/// The same where syncs are slow. All machines are slowed then, which is beyond what is tolerated,
/// so the disks are lost further apart.
const SLOW_CATCH_UP_MS: u64 = 10_000;

fn plan(site: TestSite, sync_ms: RangeInclusive<u64>, seed: u64) -> GroupPlan {
    GroupPlan {
        seed,
        registries: site.registries,
        lost_disks: site.lost_disks,
        tolerance: LossTolerance {
            disks: site.lost_disks,
        },
        catch_up_ms: if sync_ms == SLOW_SYNCS {
            SLOW_CATCH_UP_MS
        } else {
            CATCH_UP_MS
        },
        sync_ms,
        checks_confirmations: true,
    }
}

/// Runs one to three sequences of faults, the first one as early as it can be in some runs.
fn run(plan: GroupPlan) -> GroupWorld {
    let mut world = GroupWorld::new(plan);
    let kinds = GroupFault::ALL;
    let first = kinds[world.plan.seed as usize % kinds.len()];
    let rounds = world.rng.random_range(1..=3);
    if !world.run_until(FIRST_COMMAND_LIMIT_MS, |world| world.acknowledged > 0) {
        world.fail("nothing is acknowledged".to_owned());
    }
    for round in 0..rounds {
        let at = world.rng.random_range(0..kinds.len());
        let fault = if round == 0 { first } else { kinds[at] };
        match world.rng.random_range(0..4) {
            0 | 1 => {}
            2 => {
                let span = world.rng.random_range(0..6000);
                world.run_for(span);
            }
            _ => {
                world.run_until(group_world::FULL_GROUP_LIMIT_MS, GroupWorld::is_full);
            }
        }
        world.inject(fault);
    }
    world.finish();
    world
}

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable)
        .ok()
        .and_then(|text| text.parse().ok())
}

fn print_times(title: &str, mut times: Vec<u64>) {
    times.sort_unstable();
    let mean = times.iter().sum::<u64>() / times.len().max(1) as u64;
    let median = times.get(times.len() / 2);
    let longest = times.last();
    println!(
        "  {title}: {mean} ms on average, {median:?} median, {longest:?} at most, of {}",
        times.len()
    );
}

fn print_all(title: &str, times: &[GroupTimes]) {
    let acknowledged: u64 = times.iter().map(|times| times.acknowledged).sum();
    let lost_disks: u64 = times.iter().map(|times| times.lost_disks).sum();
    println!("{title}: {acknowledged} commands acknowledged, {lost_disks} disks lost");
    let collect = |of: fn(&GroupTimes) -> Option<u64>| times.iter().filter_map(of).collect();
    print_times(
        "first acknowledgement",
        collect(|times| times.first_acknowledged),
    );
    print_times(
        "full group before any fault",
        collect(|times| times.first_full),
    );
    let after_loss = times.iter().flat_map(|times| times.full_after_loss.clone());
    print_times("full group after a lost disk", after_loss.collect());
    print_times(
        "leader after the last fault",
        collect(|times| times.leader_after_faults),
    );
}

/// Runs all sites with seeds from 0 up.
fn run_sites(sync_ms: &RangeInclusive<u64>, default_runs: u64) {
    let all = 0..number(RUNS_VARIABLE).unwrap_or(default_runs);
    let seeds = number(SEED_VARIABLE).map_or(all, |seed| seed..seed + 1);
    let mut violations = Vec::new();
    for site in SITES {
        let mut times = Vec::new();
        for seed in seeds.clone() {
            let world = run(plan(site, sync_ms.clone(), seed));
            times.push(world.times);
            let violation = world.violation;
            violations.extend(violation.map(|text| format!("{site:?}, seed {seed}: {text}")));
        }
        print_all(&format!("{site:?}, syncs of {sync_ms:?} ms"), &times);
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Guards against lost commands and groups without a leader or with too few voters.
#[test]
fn a_group_bears_the_tolerated_losses_from_its_first_start_on() {
    run_sites(&QUICK_SYNCS, 9);
}

/// Guards against the same where syncs take long.
#[test]
fn a_group_with_slow_disks_bears_the_tolerated_losses_from_its_first_start_on() {
    run_sites(&SLOW_SYNCS, 9);
}

/// Guards against a model that does not detect a group that acknowledges too early.
#[test]
fn checker_detects_acknowledgements_of_too_few_voters() {
    let found = (0..200).find_map(|seed| {
        run(GroupPlan {
            tolerance: LossTolerance::default(),
            checks_confirmations: false,
            ..plan(site(9, 2), QUICK_SYNCS, seed)
        })
        .violation
    });
    println!("too few voters: {found:?}");
    let violation = found.unwrap_or_default();
    assert!(violation.contains("lost") || violation.contains("no leader"));
}
