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
        drain_order,
        keyed_document,
        open_document,
        service_announcement,
        version_of, //
    },
    processes::{
        SoakProcess,
        make_processes, //
    },
    replica::Replica, //
};

/// Power losses, in each of which another registry loses its disk.
const LOSSES: u64 = 3;

/// Time that a registry has to copy what it lost before the next one loses its disk.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// Log entries after which registries write a snapshot.
const SNAPSHOT_ENTRIES: u64 = 500;

/// Polls until `poll` succeeds.
fn wait_until(what: &str, mut poll: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !poll() {
        assert!(started_at.elapsed() < RECOVERY_TIMEOUT, "timed out: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Kills all processes, deletes the data of the registry `lost`, and starts all again.
fn lose_power_and_disk(registries: &mut [SoakProcess], edges: &mut [SoakProcess], lost: usize) {
    let all = registries.iter_mut().chain(&mut *edges);
    all.for_each(SoakProcess::kill);
    registries[lost].erase_data();
    let all = registries.iter_mut().chain(edges);
    all.for_each(SoakProcess::start);
}

/// Checks that each registry answers with this version of the configuration.
fn check_reads(registries: &[SoakProcess], version: u64) {
    for registry in registries {
        let mut found = None;
        wait_until("a read of the configuration", || {
            let read = send(registry.address, "GET /config", &[], b"");
            found = version_of(&read.text()).filter(|_| read.status == 200);
            found.is_some()
        });
        assert_eq!(found, Some(version), "read at {}", registry.address);
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
        lose_power_and_disk(&mut registries, &mut edges, loss as usize);
        check_reads(&registries, version);
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

/// Sends announcements of a replica in a failure domain to all registries.
fn announce_in(domain: &str, replica: &Replica, registries: &[SoakProcess], sequence: u64) {
    let address = replica.address.to_string();
    let start = (replica.started_ms, sequence);
    let (line, body) = service_announcement("desk", &replica.name, &address, "v1", 8, start);
    let body = body.replace("\"zone\":\"a\"", &format!("\"zone\":\"{domain}\""));
    for registry in registries {
        send(registry.address, &line, &[], body.as_bytes());
    }
}

/// Guards against revoked keys and drained failure domains that come back with an older state.
#[test]
fn revoked_keys_and_drained_domains_stay_out_after_power_losses() {
    let folder = tempfile::tempdir().expect("failed to create a folder");
    let (mut registries, mut edges) = make_processes(folder.path());
    registries.iter_mut().for_each(SoakProcess::start);
    edges.iter_mut().for_each(SoakProcess::start);
    let (near, far) = (Replica::start("i-near"), Replica::start("i-far"));
    let (mut sequence, mut version) = (0, 0);
    let mut revoked = vec!["early".to_owned()];
    // Right after the first acknowledgement, when the group has hardly been founded.
    wait_until("the first acknowledged configuration", || {
        version += 1;
        let document = keyed_document(version, "\"kept\",\"early\"");
        let address = registries[0].address;
        send(address, "PUT /config", &[], document.as_bytes()).status == 200
    });
    lose_power_and_disk(&mut registries, &mut edges, 0);
    check_reads(&registries, version);
    thread::sleep(CATCH_UP_TIME);
    for _ in 0..SNAPSHOT_ENTRIES {
        wait_until("an acknowledged configuration", || {
            version += 1;
            let document = keyed_document(version, "\"kept\",\"early\"");
            send(
                registries[0].address,
                "PUT /config",
                &[],
                document.as_bytes(),
            )
            .status
                == 200
        });
    }
    for loss in 0..LOSSES {
        let accepting = registries[loss as usize].address;
        let is_drained = loss % 2 == 0;
        wait_until("an acknowledged drain order", || {
            let line = drain_order("b", is_drained);
            send(accepting, &line, &[], b"").status == 200
        });
        let key = format!("key-{loss}");
        for keys in [format!("\"kept\",\"{key}\""), "\"kept\"".to_owned()] {
            wait_until("an acknowledged configuration", || {
                version += 1;
                let document = keyed_document(version, &keys);
                send(accepting, "PUT /config", &[], document.as_bytes()).status == 200
            });
        }
        revoked.push(key);
        lose_power_and_disk(&mut registries, &mut edges, loss as usize);
        for edge in &edges {
            let call = |key: &str, path: &str| {
                let token = format!("Token {key}");
                let headers = [
                    ("Authorization", token.as_str()),
                    ("X-Request-Id", path),
                    ("X-Deadline-Ms", "2000"),
                ];
                send(edge.address, &format!("POST {path}"), &headers, b"words").status
            };
            let mut served = 0;
            wait_until("served requests", || {
                sequence += 1;
                announce_in("a", &near, &registries, sequence);
                announce_in("b", &far, &registries, sequence);
                for key in &revoked {
                    let status = call(key, &format!("/safe/{key}-{sequence}/ok"));
                    assert_ne!(
                        status, 200,
                        "the revoked {key} is accepted after loss {loss}"
                    );
                }
                let path = format!("/safe/{loss}-{sequence}/ok");
                served += u32::from(call("kept", &path) == 200);
                if is_drained {
                    let arrivals = far.arrivals(&path).len();
                    assert_eq!(arrivals, 0, "a request in a drained domain, loss {loss}");
                }
                served == 10
            });
            assert_eq!(call(&revoked[0], "/safe/last/ok"), 401);
        }
        thread::sleep(CATCH_UP_TIME);
    }
    let recalls = registries.iter().map(|registry| {
        let log = std::fs::read_to_string(&registry.log).expect("failed to read a log");
        log.matches("recalled the state").count()
    });
    println!("states recalled: {}", recalls.sum::<usize>());
}
