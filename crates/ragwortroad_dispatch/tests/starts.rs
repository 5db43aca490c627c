//! What a starting edge does with those who come too early.

use std::time::Duration;

use ragwortroad_dispatch::prelude::*;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against callers who are refused while an edge takes its first configuration.
#[test]
fn a_request_waits_for_a_starting_edge() {
    assert_eq!(start_wait(ms(100), ms(12_000)), ms(2000));
    // A booking has little time and must still be able to go elsewhere.
    assert_eq!(start_wait(ms(100), ms(600)), ms(150));
    assert!(time_to_ready(ms(100)) > time_to_ready(ms(700)));
}

/// Callers served, of all, who wait through a restart, come back once as told, and wait again.
fn served_through_a_restart(ready_ms: u64, deadline_ms: u64) -> (u32, u32) {
    let (mut served, mut all) = (0, 0);
    for came_ms in (0..ready_ms).step_by(20) {
        all += 1;
        let wait = start_wait(ms(came_ms), ms(deadline_ms)).as_millis() as u64;
        if came_ms + wait >= ready_ms {
            served += 1;
            continue;
        }
        let refused_ms = came_ms + wait;
        let left_ms = deadline_ms - wait;
        // Callers keep to what they are told up to a third of their time.
        let told = time_to_ready(ms(refused_ms)).min(ms(left_ms / 3));
        let back_ms = refused_ms + told.as_millis() as u64;
        let second = start_wait(ms(back_ms), ms(left_ms - told.as_millis() as u64));
        served += u32::from(back_ms + second.as_millis() as u64 >= ready_ms);
    }
    (served, all)
}

/// Guards against callers with seconds of time who are refused while a large fleet restarts.
#[test]
fn callers_with_time_are_served_through_a_long_restart() {
    for ready_ms in [900, 1300, 2400] {
        for deadline_ms in [8_000, 10_000, 15_000] {
            let (served, all) = served_through_a_restart(ready_ms, deadline_ms);
            assert_eq!(served, all, "{deadline_ms} ms to live, ready at {ready_ms}");
        }
        let (served, all) = served_through_a_restart(ready_ms, 2500);
        assert!(
            served * 10 >= all * 5,
            "{served} of {all}, ready at {ready_ms}"
        );
    }
}

/// Guards against requests that wait for registries which stay away.
#[test]
fn nothing_waits_in_an_outage() {
    assert_eq!(start_wait(ms(3000), ms(12_000)), Duration::ZERO);
    assert_eq!(time_to_ready(ms(3000)), Duration::ZERO);
}

/// Guards against places of texts that are forgotten before their engines are heard of.
#[test]
fn places_at_engines_not_heard_of_are_kept() {
    let (here, there) = (EndpointTag::of("i-here"), EndpointTag::of("i-there"));
    let mut strays = PendingLocations::default();
    strays.add(here, 1);
    strays.add(here, 2);
    strays.add(there, 2);
    assert!(strays.contains(1) && strays.contains(2) && !strays.contains(3));
    let mut texts = strays.take(here);
    texts.sort_unstable();
    assert_eq!(texts, [1, 2]);
    assert!(!strays.contains(1), "its engine is known now");
    assert!(strays.contains(2), "another engine has it too");
    assert!(strays.take(here).is_empty());
    assert_eq!(strays.take(there), [2]);
    for text in 0..100_000 {
        strays.add(there, text);
    }
    assert_eq!(strays.take(there).len(), 4000, "memory is bounded");
}
