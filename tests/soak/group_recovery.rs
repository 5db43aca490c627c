//! A group whose majority is lost for good, and the operator's way back.

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    RECOVERY_TIMEOUT,
    caller::send,
    document::{
        open_document,
        version_of, //
    },
    processes::{
        SoakProcess,
        make_processes, //
    }, //
};

/// Time for which a group without a majority is watched.
const WATCH_TIME: Duration = Duration::from_secs(3);

fn put(registry: &SoakProcess, version: u64) -> bool {
    let document = open_document(version);
    send(registry.address, "PUT /config", &[], document.as_bytes()).status == 200
}

fn read(registry: &SoakProcess) -> Option<u64> {
    let read = send(registry.address, "GET /config", &[], b"");
    version_of(&read.text()).filter(|_| read.status == 200)
}

fn wait_until(what: &str, mut poll: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !poll() {
        assert!(started_at.elapsed() < RECOVERY_TIMEOUT, "timed out: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against a group that no operator can bring back once a majority of its disks is lost.
#[test]
fn a_group_without_a_majority_is_founded_anew_from_a_kept_disk() {
    let folder = tempfile::tempdir().expect("failed to create a folder");
    let (mut registries, _) = make_processes(folder.path());
    registries.iter_mut().for_each(SoakProcess::start);
    wait_until("an acknowledged configuration", || put(&registries[0], 7));
    wait_until("a configuration on every disk", || {
        registries.iter().all(|registry| read(registry) == Some(7))
    });
    assert_eq!(registries[2].run_command("recover", &[]), None, "it runs");
    registries.iter_mut().for_each(SoakProcess::kill);
    registries[..2].iter_mut().for_each(SoakProcess::erase_data);
    registries.iter_mut().for_each(SoakProcess::start);
    let started_at = Instant::now();
    while started_at.elapsed() < WATCH_TIME {
        assert_eq!(
            read(&registries[2]),
            None,
            "one of three voters is no quorum"
        );
    }
    registries.iter_mut().for_each(SoakProcess::kill);
    let told = registries[2].run_command("recover", &[]);
    let told = told.expect("the folder is readable");
    assert!(
        told.contains("configuration 7") && told.contains("3 voters"),
        "{told}"
    );
    let founded = registries[2].run_command("recover", &["--found-group"]);
    assert!(founded.is_some());
    registries[..2].iter_mut().for_each(SoakProcess::erase_data);
    registries.iter_mut().for_each(SoakProcess::start);
    for registry in &registries {
        wait_until("a read of the configuration", || read(registry) == Some(7));
    }
    wait_until("another configuration", || put(&registries[0], 8));
    for registry in &registries {
        wait_until("a read of the new one", || read(registry) == Some(8));
    }
}
