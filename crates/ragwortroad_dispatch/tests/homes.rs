//! Choice of home registries, exchange of loads between registries, and selection of edges for
//! clients.

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

/// Guards against a registry whose link carries the share of others, even after a loss.
#[test]
fn homes_are_balanced_even_after_a_loss() {
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

/// Guards against clients that all get the same edges, or different ones every second.
#[test]
fn clients_are_spread_over_all_edges_and_keep_theirs() {
    let ready: Vec<SocketAddr> = (0..191).map(registry).collect();
    let mut counts: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for client in 0..400_u32 {
        let client = IpAddr::V4(Ipv4Addr::from(0x0a64_0000 + client));
        let found = choose_addresses(client, ready.clone(), 64);
        assert_eq!(found.len(), 64);
        let mut backward = ready.clone();
        backward.reverse();
        assert_eq!(
            found,
            choose_addresses(client, backward, 64),
            "the order of the edges is irrelevant"
        );
        let fewer = ready.iter().copied().filter(|edge| *edge != found[0]);
        let found_fewer = choose_addresses(client, fewer.collect(), 64);
        let kept = found_fewer.iter().filter(|edge| found.contains(edge));
        assert_eq!(
            kept.count(),
            63,
            "one edge more or less changes one address"
        );
        for edge in found {
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

/// Guards against loads from other registries that count twice, or remain after a loss.
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
        "loads from the other registry are not reported back"
    );
    assert_eq!(
        here.own_published(),
        [count(4)],
        "sums for a registry that connects later"
    );
    here.drop_source(LoadSource::Registry(registry(7)));
    assert_eq!(here.changes(), [count(4)]);
    here.drop_source(LoadSource::Edge(registry(1)));
    assert_eq!(here.changes(), [count(0)]);
    assert_eq!(here.own_changes(), [count(0)]);
}

/// Guards against clients that connect to an edge after its grace time.
#[test]
fn response_ttls_fit_into_the_grace_time() {
    let seconds = Duration::from_secs;
    for grace in [4, 8, 10, 30] {
        let ttl = response_ttl(seconds(grace), seconds(5));
        assert!(
            ttl * 3 < seconds(grace),
            "{ttl:?} with a grace time of {grace} s"
        );
        assert!(
            ttl * 4 >= seconds(grace).min(seconds(20)),
            "{ttl:?}, {grace} s"
        );
    }
    assert_eq!(
        response_ttl(seconds(2), seconds(5)),
        seconds(1),
        "the minimum TTL"
    );
}

/// Guards against loads that count twice while an old connection is not found dead.
#[test]
fn a_reconnecting_registry_counts_once() {
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
        "another registry's loads are not reported as its own"
    );
}

/// Guards against edges that admit too much because their home is partitioned from most others.
#[test]
fn edges_prefer_homes_with_contact_to_a_majority() {
    let candidate = |index: usize, hears| HomeCandidate {
        address: registry(index),
        hears,
        voters: 9,
    };
    let partitioned: Vec<HomeCandidate> = (0..9)
        .map(|index| candidate(index, if index < 4 { 4 } else { 5 }))
        .collect();
    let isolated: Vec<HomeCandidate> = (0..9).map(|index| candidate(index, 1)).collect();
    let mut homes = BTreeSet::new();
    for edge in 0..191 {
        let edge = format!("edge-{edge}");
        let home = choose_home(&edge, &partitioned).expect("a home");
        assert!((4..9).any(|index| registry(index) == home), "{home}");
        homes.insert(home);
        assert!(choose_home(&edge, &isolated).is_some());
    }
    assert_eq!(homes.len(), 5);
    let silent = HomeCandidate {
        address: registry(1),
        hears: 0,
        voters: 0,
    };
    assert_eq!(choose_home("edge-1", &[silent]), Some(registry(1)));
}
