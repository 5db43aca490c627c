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

/// A registry's link is choked, or its VM hangs: it is connected, has announced the version and does
/// not answer. If it were asked again and again until it counts as lost, the edge would go on
/// refusing callers by a configuration that was replaced seconds ago.
#[test]
fn a_registry_that_does_not_answer_is_not_asked_twice() {
    let mut fetch = ConfigFetch::default();
    fetch.note_announced(9, at(0));
    let first = fetch.next("edge-1", Some(8), &sources(0), at(0));
    let first = first.expect("its own registry has announced it");
    fetch.note_asked(first, at(0));
    assert_eq!(fetch.next("edge-1", Some(8), &sources(0), at(100)), None);
    let second = fetch.next("edge-1", Some(8), &sources(0), at(600));
    assert!(second.is_some_and(|second| second != first), "{second:?}");
    fetch.note_asked(second.expect("another one"), at(600));
    fetch.note_answered();
    assert_eq!(fetch.next("edge-1", Some(9), &sources(0), at(700)), None);
}

/// The only registry that has the version was slow to answer. It is asked again, as nobody else can.
#[test]
fn the_only_registry_that_has_it_is_asked_again() {
    let mut fetch = ConfigFetch::default();
    fetch.note_announced(9, at(0));
    fetch.note_asked(registry(8), at(300));
    let next = fetch.next("edge-1", Some(8), &sources(8), at(1000));
    assert_eq!(next, Some(registry(8)));
}

/// The leader announces a change first. If all edges asked it at once, its link would carry the
/// copies for all of them, and the last edges would have the change seconds later.
#[test]
fn edges_wait_for_their_own_registry_and_divide_themselves() {
    let mut fetch = ConfigFetch::default();
    fetch.note_announced(9, at(0));
    let mut counts: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for edge in 0..191 {
        let edge = format!("edge-{edge}");
        let early = fetch.next(&edge, Some(8), &sources(8), at(10));
        *counts.entry(early.unwrap_or(registry(0))).or_default() += 1;
    }
    assert!(
        counts[&registry(8)] < 50,
        "only its own edges ask: {counts:?}"
    );
    counts.clear();
    for edge in 0..191 {
        let edge = format!("edge-{edge}");
        let late = fetch.next(&edge, Some(8), &sources(5), at(400));
        *counts.entry(late.expect("someone has it")).or_default() += 1;
    }
    assert_eq!(counts.len(), 4, "{counts:?}");
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(
        most < 80,
        "those whose own lacks it divide themselves: {counts:?}"
    );
}
