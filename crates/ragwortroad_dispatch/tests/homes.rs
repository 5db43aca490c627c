//! Which registry an edge tells and is told by, what registries add up, and which edges callers use.

mod common;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration, //
};

use common::registry;
use ragwortroad_dispatch::prelude::*;

/// Guards against a registry whose link carries the share of others, also after a loss.
#[test]
fn homes_are_divided_evenly_also_after_a_loss() {
    let all: Vec<SocketAddr> = (0..9).map(registry).collect();
    for lost in [None, Some(all[4])] {
        let left = all
            .iter()
            .copied()
            .filter(|registry| Some(*registry) != lost);
        let left: Vec<SocketAddr> = left.collect();
        let mut counts: BTreeMap<SocketAddr, u32> = BTreeMap::new();
        for edge in 0..191 {
            let home = prefer_registry(&format!("edge-{edge}"), left.iter().copied());
            *counts.entry(home.expect("a home")).or_default() += 1;
        }
        let most = counts.values().max().copied().unwrap_or(0);
        assert_eq!(counts.len(), left.len(), "{counts:?}");
        assert!(
            f64::from(most) <= 191.0 / left.len() as f64 * 1.7,
            "{counts:?}"
        );
    }
}

/// Guards against callers who are all told the same edges, or others each second.
#[test]
fn callers_are_spread_over_all_edges_and_stay_at_theirs() {
    let ready: Vec<SocketAddr> = (0..191).map(registry).collect();
    let mut counts: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for asker in 0..400_u32 {
        let asker = IpAddr::V4(Ipv4Addr::from(0x0a64_0000 + asker));
        let told = choose_addresses(asker, ready.clone(), 64);
        assert_eq!(told.len(), 64);
        let mut backward = ready.clone();
        backward.reverse();
        assert_eq!(
            told,
            choose_addresses(asker, backward, 64),
            "order is no matter"
        );
        let fewer = ready.iter().copied().filter(|edge| *edge != told[0]);
        let told_fewer = choose_addresses(asker, fewer.collect(), 64);
        let kept = told_fewer.iter().filter(|edge| told.contains(edge));
        assert_eq!(
            kept.count(),
            63,
            "one edge more or less changes one address"
        );
        for edge in told {
            *counts.entry(edge).or_default() += 1;
        }
    }
    let mean = 400.0 * 64.0 / 191.0;
    let most = counts.values().max().copied().unwrap_or(0);
    let least = counts.values().min().copied().unwrap_or(0);
    assert_eq!(counts.len(), 191);
    assert!(f64::from(most) <= mean * 1.3, "{most} of {mean}");
    assert!(f64::from(least) >= mean * 0.7, "{least} of {mean}");
}

/// Guards against loads of other registries' edges that count twice, or stay after a loss.
#[test]
fn loads_of_other_registries_edges_count_once() {
    let endpoint = EndpointTag::of("busy");
    let count = |count| LoadCount { endpoint, count };
    let mut here = LoadTotals::default();
    let mut there = LoadTotals::default();
    here.update(LoadSource::Edge(registry(1)), &[count(4)]);
    there.update(LoadSource::Edge(registry(1)), &[count(3)]);
    let (from_here, from_there) = (here.own_changes(), there.own_changes());
    there.update(LoadSource::Registry(registry(7)), &from_here);
    here.update(LoadSource::Registry(registry(7)), &from_there);
    assert_eq!(here.changes(), [count(7)]);
    assert_eq!(there.changes(), [count(7)]);
    assert!(
        here.own_changes().is_empty(),
        "what came from there is not told back"
    );
    assert_eq!(
        here.own_published(),
        [count(4)],
        "for a registry that comes later"
    );
    here.drop_source(LoadSource::Registry(registry(7)));
    assert_eq!(here.changes(), [count(4)]);
    here.drop_source(LoadSource::Edge(registry(1)));
    assert_eq!(here.changes(), [count(0)]);
    assert_eq!(here.own_changes(), [count(0)]);
}

/// Guards against callers who come to an edge after its grace time.
#[test]
fn answers_live_as_long_as_a_stopping_edge_allows() {
    let seconds = Duration::from_secs;
    for grace in [4, 8, 10, 30] {
        let life = answer_ttl(seconds(grace), seconds(5));
        assert!(
            life * 3 < seconds(grace),
            "{life:?} with a grace time of {grace} s"
        );
        assert!(
            life * 4 >= seconds(grace).min(seconds(20)),
            "{life:?}, {grace} s"
        );
    }
    assert_eq!(
        answer_ttl(seconds(2), seconds(5)),
        seconds(1),
        "the least that can be told"
    );
}

/// Guards against loads that count twice while a former connection is not found dead.
#[test]
fn a_registry_that_connects_anew_counts_once() {
    let endpoint = EndpointTag::of("busy");
    let count = |count| LoadCount { endpoint, count };
    let source = LoadSource::Registry(registry(2));
    let mut totals = LoadTotals::default();
    totals.update(LoadSource::Edge(registry(1)), &[count(2)]);
    totals.update(source, &[count(9)]);
    assert_eq!(totals.changes(), [count(11)]);
    totals.drop_source(source);
    totals.update(source, &[count(8)]);
    assert_eq!(totals.changes(), [count(10)]);
    assert_eq!(
        totals.own_changes(),
        [count(2)],
        "and is not told on as this one's own"
    );
}

/// Guards against edges that admit too much because their home is cut off from most others.
#[test]
fn edges_meet_where_most_registries_hear_each_other() {
    let candidate = |index: usize, hears| HomeCandidate {
        address: registry(index),
        hears,
        voters: 9,
    };
    let cut: Vec<HomeCandidate> = (0..9)
        .map(|index| candidate(index, if index < 4 { 4 } else { 5 }))
        .collect();
    let alone: Vec<HomeCandidate> = (0..9).map(|index| candidate(index, 1)).collect();
    let mut homes = BTreeSet::new();
    for edge in 0..191 {
        let edge = format!("edge-{edge}");
        let home = choose_home(&edge, &cut).expect("a home");
        assert!((4..9).any(|index| registry(index) == home), "{home}");
        homes.insert(home);
        assert!(choose_home(&edge, &alone).is_some());
    }
    assert_eq!(homes.len(), 5);
    let silent = HomeCandidate {
        address: registry(1),
        hears: 0,
        voters: 0,
    };
    assert_eq!(choose_home("edge-1", &[silent]), Some(registry(1)));
}
