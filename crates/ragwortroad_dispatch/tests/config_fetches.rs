//! How edges come by a configuration: from whom, when again, and how that is divided.

mod common;

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use common::{
    at,
    registry, //
};
use ragwortroad_dispatch::prelude::*;

/// Nine registries of which those from `first` on have announced version 9.
fn sources(first: usize) -> Vec<ConfigSource> {
    let sources = (0..9).map(|index| ConfigSource {
        address: registry(index),
        version: Some(if index >= first { 9 } else { 8 }),
    });
    sources.collect()
}

/// Guards against an edge that asks a connected registry which does not answer again and again.
#[test]
fn a_registry_that_does_not_answer_is_not_asked_twice() {
    let mut fetch = ConfigFetch::default();
    fetch.note_announced(9, at(0));
    let first = fetch.next("edge-1", Some(8), &sources(0), at(0));
    let first = first.expect("its own registry has announced it").registry;
    fetch.note_asked(first, at(0));
    assert_eq!(fetch.next("edge-1", Some(8), &sources(0), at(100)), None);
    let second = fetch.next("edge-1", Some(8), &sources(0), at(600));
    let second = second.expect("another one");
    assert_ne!(second.registry, first);
    assert!(!second.direct, "another one may refer");
    fetch.note_asked(second.registry, at(600));
    fetch.note_answered();
    assert_eq!(fetch.next("edge-1", Some(9), &sources(0), at(700)), None);
}

/// Guards against an edge that gives up on a slow registry which alone has the version.
#[test]
fn the_only_registry_that_has_it_is_asked_again() {
    let mut fetch = ConfigFetch::default();
    fetch.note_announced(9, at(0));
    fetch.note_asked(registry(8), at(300));
    let next = fetch.next("edge-1", Some(8), &sources(8), at(1000));
    let again = ConfigRequest {
        registry: registry(8),
        direct: true,
    };
    assert_eq!(next, Some(again));
}

/// Guards against edges that a registry refers to a lost edge over and over.
#[test]
fn a_failed_referral_is_not_repeated() {
    let mut fetch = ConfigFetch::default();
    fetch.note_announced(9, at(0));
    fetch.note_asked(registry(8), at(300));
    fetch.note_failed();
    let only = fetch.next("edge-1", None, &sources(8), at(301));
    let only = only.expect("the only registry that has it");
    assert!(only.registry == registry(8) && only.direct, "{only:?}");
    let other = fetch.next("edge-1", None, &sources(7), at(301));
    let other = other.expect("the other registry that has it");
    assert!(other.registry == registry(7) && !other.direct, "{other:?}");
}

/// Guards against a leader whose link has to carry the copies for all edges.
#[test]
fn edges_wait_for_their_own_registry_and_divide_themselves() {
    let mut fetch = ConfigFetch::default();
    fetch.note_announced(9, at(0));
    let mut counts: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for edge in 0..191 {
        let edge = format!("edge-{edge}");
        let early = fetch.next(&edge, Some(8), &sources(8), at(10));
        let early = early.map_or(registry(0), |demand| demand.registry);
        *counts.entry(early).or_default() += 1;
    }
    assert!(
        counts[&registry(8)] < 50,
        "only its own edges ask: {counts:?}"
    );
    counts.clear();
    for edge in 0..191 {
        let edge = format!("edge-{edge}");
        let late = fetch.next(&edge, Some(8), &sources(5), at(400));
        let late = late.expect("someone has it").registry;
        *counts.entry(late).or_default() += 1;
    }
    assert_eq!(counts.len(), 4, "{counts:?}");
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(
        most < 80,
        "those whose own lacks it divide themselves: {counts:?}"
    );
}
