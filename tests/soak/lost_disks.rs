//! Loss of disks and power right after the first acknowledgement of a group that has just started.

use std::{
    fs,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    caller::send,
    document::{
        open_document,
        version_of, //
    },
    env_number,
    loss_play::LossPlay,
    processes::{
        FleetSize,
        SoakProcess,
        make_fleet, //
    },
    selected_seeds, //
};

/// Seeds that are run unless others are selected.
const DEFAULT_SEEDS: [u64; 3] = [11, 45, 70];

/// Registries of the fleet, and how many of their disks it bears to lose.
const FLEET: FleetSize = FleetSize {
    registries: 9,
    edges: 0,
    tolerated_disk_losses: 2,
};

/// Time after which the fleet must have acknowledged a configuration.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after all processes are back in which the configuration must be read.
const RECOVERY_TIME: Duration = Duration::from_secs(15);

/// Puts configurations at `registry` until one is acknowledged; returns its version.
fn put_until_acknowledged(registry: &SoakProcess, above: u64) -> u64 {
    let started_at = Instant::now();
    let mut version = above;
    loop {
        version += 1;
        let document = open_document(version);
        let reply = send(registry.address, "PUT /config", &[], document.as_bytes());
        if reply.status == 200 {
            return version;
        }
        assert!(
            started_at.elapsed() < START_TIMEOUT,
            "no configuration was acknowledged"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

/// Reads the configuration at the registries in turn; `None` if none of them answers in time.
fn read_back(registries: &[SoakProcess]) -> Option<u64> {
    let started_at = Instant::now();
    while started_at.elapsed() < RECOVERY_TIME {
        for registry in registries {
            let read = send(registry.address, "GET /config", &[], b"");
            if read.status == 200 {
                return version_of(&read.text());
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    None
}

/// Kills all processes, deletes the data of those in `lost`, and starts all again.
fn lose_power(registries: &mut [SoakProcess], lost: &[usize]) {
    registries.iter_mut().for_each(SoakProcess::kill);
    for &index in lost {
        registries[index].erase_data();
    }
    registries.iter_mut().for_each(SoakProcess::start);
}

/// Guards against acknowledgements by a group of too few voters to bear the loss of two disks.
#[test]
fn a_young_group_keeps_what_it_acknowledged_when_two_disks_are_lost() {
    for (lost, delay_ms) in [([0, 1], 0), ([1, 2], 300), ([0, 2], 1000)] {
        let folder = tempfile::tempdir().expect("failed to create a folder");
        let (mut registries, _) = make_fleet(folder.path(), FLEET);
        registries.iter_mut().for_each(SoakProcess::start);
        let mut version = put_until_acknowledged(&registries[lost[0]], 0);
        thread::sleep(Duration::from_millis(delay_ms));
        version = put_until_acknowledged(&registries[lost[0]], version);
        lose_power(&mut registries, &lost);
        let read = read_back(&registries);
        if read != Some(version) {
            let kept = folder.keep();
            panic!(
                "read {read:?} after version {version} and the loss of the disks of {lost:?} \
                 {delay_ms} ms later; logs in {}",
                kept.display()
            );
        }
    }
}

/// Waits until the process has opened its data folder or the time is over.
fn wait_for_folder(registry: &SoakProcess, delay: Duration) {
    let started_at = Instant::now();
    let log = || fs::read_to_string(&registry.log).expect("failed to read a log");
    while started_at.elapsed() < delay && !log().contains("data folder opened") {
        thread::sleep(Duration::from_millis(1));
    }
}

/// Guards against groups that never bootstrap since seeds start again before that.
#[test]
fn a_group_bootstraps_although_seeds_start_again_before() {
    for again in [&[0, 1, 2][..], &[1, 2, 8], &[0, 2, 5], &[0], &[1], &[2]] {
        let folder = tempfile::tempdir().expect("failed to create a folder");
        let (mut registries, _) = make_fleet(folder.path(), FLEET);
        // The group does not bootstrap before all seeds have been heard of.
        let (last, others) = again.split_last().expect("some start again");
        let late = (*last + 1) % 3;
        for (index, registry) in registries.iter_mut().enumerate() {
            if index != late {
                registry.start();
            }
        }
        for index in others.iter().chain([last]).filter(|index| **index != late) {
            wait_for_folder(&registries[*index], START_TIMEOUT);
            registries[*index].kill();
            registries[*index].clear_first_start();
        }
        registries.iter_mut().for_each(SoakProcess::start);
        put_until_acknowledged(&registries[3], 0);
    }
}

/// Guards against acknowledged configurations lost, late or older after tolerated losses of disks.
#[test]
fn acknowledged_configurations_outlast_lost_disks_at_any_moment() {
    let seeds = match env_number("SOAK_SEED") {
        Some(_) => selected_seeds(),
        None => DEFAULT_SEEDS.to_vec(),
    };
    let mut violations = Vec::new();
    for seed in seeds {
        let folder = tempfile::tempdir().expect("failed to create a folder");
        let mut play = LossPlay::start(seed, folder.path());
        if let Err(violation) = play.run() {
            drop(play);
            let kept = folder.keep();
            println!("seed {seed}: {violation}; logs in {}", kept.display());
            violations.push(format!("seed {seed}: {violation}"));
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}
