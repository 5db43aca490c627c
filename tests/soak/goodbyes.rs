//! Goodbyes of endpoints at a fleet that bears the loss of two registries.

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    caller::send,
    processes::{
        FleetSize,
        SoakProcess,
        make_fleet, //
    }, //
};

/// Time after which an endpoint reports elsewhere.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a fleet must take the first goodbye.
const START_TIMEOUT: Duration = Duration::from_secs(30);

fn is_goodbye_taken(registry: &SoakProcess, name: &str) -> bool {
    let line = format!("DELETE /instances/{name}");
    send(registry.address, &line, &[], b"").status == 200
}

/// Guards against goodbyes that are late because several registries must keep them.
#[test]
fn goodbyes_are_answered_in_time_where_two_registries_may_be_lost() {
    let folder = tempfile::tempdir().expect("failed to create a folder");
    let size = FleetSize {
        registries: 5,
        edges: 2,
        tolerated_disk_losses: 2,
    };
    let (mut registries, mut edges) = make_fleet(folder.path(), size);
    registries.iter_mut().for_each(SoakProcess::start);
    edges.iter_mut().for_each(SoakProcess::start);
    for registry in &registries {
        let started_at = Instant::now();
        while !is_goodbye_taken(registry, "first") {
            let waited = started_at.elapsed();
            assert!(waited < START_TIMEOUT, "no goodbye is taken");
            thread::sleep(Duration::from_millis(50));
        }
    }
    let mut slowest = Duration::ZERO;
    for number in 0..100 {
        let asked_at = Instant::now();
        let registry = &registries[number % registries.len()];
        let is_taken = is_goodbye_taken(registry, &format!("endpoint-{number}"));
        assert!(is_taken, "goodbye {number} was refused");
        slowest = slowest.max(asked_at.elapsed());
    }
    println!("the slowest of 100 goodbyes took {slowest:?}");
    assert!(slowest < CALL_TIMEOUT, "{slowest:?}");
}
