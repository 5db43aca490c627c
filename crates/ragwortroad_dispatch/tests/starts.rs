//! Handling of requests that arrive at a starting edge.

use std::time::Duration;

use ragwortroad_dispatch::prelude::*;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against clients that are rejected while an edge fetches its first configuration.
#[test]
fn a_request_waits_for_a_starting_edge() {
    assert_eq!(start_wait(ms(100), ms(12_000)), ms(2000));
    // A request with a short deadline must have enough time left for a retry at another edge.
    assert_eq!(start_wait(ms(100), ms(600)), ms(150));
    assert!(time_to_ready(ms(100)) > time_to_ready(ms(700)));
}

/// Returns how many clients are served, and their total, if they wait during a restart, retry once
/// as told, and wait again.
fn served_through_a_restart(ready_ms: u64, deadline_ms: u64) -> (u32, u32) {
    let (mut served, mut all) = (0, 0);
    for arrived_ms in (0..ready_ms).step_by(20) {
        all += 1;
        let wait = start_wait(ms(arrived_ms), ms(deadline_ms)).as_millis() as u64;
        if arrived_ms + wait >= ready_ms {
            served += 1;
            continue;
        }
        let rejected_ms = arrived_ms + wait;
        let left_ms = deadline_ms - wait;
        // Clients honor a retry delay up to a third of their remaining time.
        let delay = time_to_ready(ms(rejected_ms)).min(ms(left_ms / 3));
        let retry_ms = rejected_ms + delay.as_millis() as u64;
        let second = start_wait(ms(retry_ms), ms(left_ms - delay.as_millis() as u64));
        served += u32::from(retry_ms + second.as_millis() as u64 >= ready_ms);
    }
    (served, all)
}

/// Guards against clients with deadlines of seconds that are rejected while a large fleet restarts.
#[test]
fn clients_with_long_deadlines_are_served_through_a_long_restart() {
    for ready_ms in [900, 1300, 2400] {
        for deadline_ms in [8_000, 10_000, 15_000] {
            let (served, all) = served_through_a_restart(ready_ms, deadline_ms);
            assert_eq!(
                served, all,
                "deadline {deadline_ms} ms, ready at {ready_ms}"
            );
        }
        let (served, all) = served_through_a_restart(ready_ms, 2500);
        assert!(
            served * 10 >= all * 5,
            "{served} of {all}, ready at {ready_ms}"
        );
    }
}

/// Guards against requests that wait for registries which stay unavailable.
#[test]
fn no_request_waits_in_an_outage() {
    assert_eq!(start_wait(ms(3000), ms(12_000)), Duration::ZERO);
    assert_eq!(time_to_ready(ms(3000)), Duration::ZERO);
}

/// Guards against prefix locations that are dropped before their engines are known.
#[test]
fn locations_at_unknown_engines_are_kept() {
    let (here, there) = (EndpointTag::of("i-here"), EndpointTag::of("i-there"));
    let mut pending = PendingLocations::default();
    pending.add(here, 1);
    pending.add(here, 2);
    pending.add(there, 2);
    assert!(pending.contains(1) && pending.contains(2) && !pending.contains(3));
    let mut prefixes = pending.take(here);
    prefixes.sort_unstable();
    assert_eq!(prefixes, [1, 2]);
    assert!(!pending.contains(1), "its engine is known now");
    assert!(pending.contains(2), "another engine has it too");
    assert!(pending.take(here).is_empty());
    assert_eq!(pending.take(there), [2]);
    for prefix in 0..100_000 {
        pending.add(there, prefix);
    }
    assert_eq!(pending.take(there).len(), 4000, "memory is bounded");
}
