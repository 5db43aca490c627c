//! Loss of power of all VMs at the moment in which disks are lost.

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
        announcement,
        open_document,
        version_of, //
    },
    processes::{
        SoakProcess,
        make_processes, //
    },
    replica::Replica, //
};

/// Power losses in a run; each registry loses its disk once.
const LOSSES: u64 = 3;

/// Time that a registry has to copy what it lost before the next one loses its disk.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// Polls until `poll` succeeds.
fn wait_until(what: &str, mut poll: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !poll() {
        assert!(started_at.elapsed() < RECOVERY_TIMEOUT, "timed out: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against configurations lost when all VMs lose power and one its disk.
#[test]
fn acknowledged_configurations_outlast_power_losses_with_a_lost_disk() {
    let folder = tempfile::tempdir().expect("failed to create a folder");
    let (mut registries, mut edges) = make_processes(folder.path());
    // The proxies forward between the registries.
    registries.iter_mut().for_each(SoakProcess::start);
    edges.iter_mut().for_each(SoakProcess::start);
    let replica = Replica::start("i-one");
    let mut sequence = 0;
    let mut version = 0;
    for loss in 0..LOSSES {
        let accepting = registries[loss as usize].address;
        wait_until("an acknowledged configuration", || {
            version += 1;
            let document = open_document(version);
            send(accepting, "PUT /config", &[], document.as_bytes()).status == 200
        });
        registries
            .iter_mut()
            .chain(&mut edges)
            .for_each(SoakProcess::kill);
        registries[loss as usize].erase_data();
        registries
            .iter_mut()
            .chain(&mut edges)
            .for_each(SoakProcess::start);
        for registry in &registries {
            let mut found = None;
            wait_until("a read of the configuration", || {
                let read = send(registry.address, "GET /config", &[], b"");
                found = version_of(&read.text()).filter(|_| read.status == 200);
                found.is_some()
            });
            assert_eq!(found, Some(version), "read at {}", registry.address);
        }
        for edge in &edges {
            wait_until("a served request", || {
                sequence += 1;
                let address = replica.address.to_string();
                let (line, body) = announcement(&replica.name, &address, sequence);
                for registry in &registries {
                    send(registry.address, &line, &[], body.as_bytes());
                }
                let id = format!("call-{sequence}");
                let headers = [("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "2000")];
                let answer = send(edge.address, "POST /safe/1/ok", &headers, b"words");
                answer.status == 200
            });
        }
        thread::sleep(CATCH_UP_TIME);
    }
}
