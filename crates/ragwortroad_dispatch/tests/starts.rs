//! What a starting edge does with those who come too early.

use std::time::Duration;

use ragwortroad_dispatch::prelude::*;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// All VMs have lost power, and edges are up before there is a configuration. A stylist whose
/// caption is refused then, comes back a moment later and is refused again, gets none at all.
#[test]
fn a_request_waits_for_a_starting_edge() {
    assert_eq!(start_wait(ms(100), ms(12_000)), ms(800));
    // A booking has little time and must still be able to go elsewhere.
    assert_eq!(start_wait(ms(100), ms(600)), ms(150));
    assert!(start_left(ms(100)) > start_left(ms(900)));
}

/// The registries stay away. Requests that wait for them in vain would be answered late, each one,
/// for as long as the outage lasts.
#[test]
fn nothing_waits_in_an_outage() {
    assert_eq!(start_wait(ms(3000), ms(12_000)), Duration::ZERO);
    assert_eq!(start_left(ms(3000)), Duration::ZERO);
}

/// After a common restart an edge is told of texts at engines that have not announced themselves
/// yet. Forgotten, all of those texts would be read again as soon as callers are served.
#[test]
fn places_at_engines_not_heard_of_are_kept() {
    let (here, there) = (EndpointTag::of("i-here"), EndpointTag::of("i-there"));
    let mut strays = StrayPlaces::default();
    strays.keep(here, 1);
    strays.keep(here, 2);
    strays.keep(there, 2);
    assert!(strays.knows(1) && strays.knows(2) && !strays.knows(3));
    let mut texts = strays.take(here);
    texts.sort_unstable();
    assert_eq!(texts, [1, 2]);
    assert!(!strays.knows(1), "its engine is known now");
    assert!(strays.knows(2), "another engine has it too");
    assert!(strays.take(here).is_empty());
    assert_eq!(strays.take(there), [2]);
    for text in 0..100_000 {
        strays.keep(there, text);
    }
    assert_eq!(strays.take(there).len(), 4000, "memory is bounded");
}
