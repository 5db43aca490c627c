//! Which edges a directory returns to clients, given the views of several registries.

mod common;

use std::net::{
    IpAddr,
    Ipv4Addr,
    SocketAddr, //
};

use common::{
    at,
    registry, //
};
use ragwortroad_dispatch::prelude::*;

const CLIENT: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 9, 0, 1));

fn edge(number: u8) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 1, 0, number)), 8227)
}

fn view(ready: &[u8], edges: u32) -> EdgeView {
    EdgeView {
        ready: ready.iter().copied().map(edge).collect(),
        edges,
    }
}

/// Returns a directory that has completed discovery and is connected to two registries.
fn settled_directory() -> EdgeDirectory {
    let mut directory = EdgeDirectory::new(at(0));
    directory.note_view(registry(0), view(&[1, 2, 3], 3), at(100));
    directory.note_view(registry(1), view(&[1, 2, 3], 3), at(110));
    directory
}

fn found(directory: &EdgeDirectory, now: u64) -> Vec<SocketAddr> {
    let mut found = directory.find(CLIENT, 64, at(now)).expect("edges");
    found.sort();
    found
}

/// Guards against responses without edges that a single registry has lost.
#[test]
fn an_edge_that_any_registry_reports_ready_is_returned() {
    let mut directory = settled_directory();
    directory.note_view(registry(0), view(&[1], 1), at(5000));
    assert_eq!(found(&directory, 5000), [edge(1), edge(2), edge(3)]);
    directory.note_view(registry(1), view(&[1, 3], 3), at(5100));
    assert_eq!(found(&directory, 5100), [edge(1), edge(3)]);
}

/// Guards against clients that get no edge while all registries are lost.
#[test]
fn the_last_views_are_used_until_a_registry_sends_a_new_one() {
    let mut directory = settled_directory();
    directory.note_lost(registry(0));
    directory.note_view(registry(1), view(&[1, 2], 2), at(5000));
    directory.note_lost(registry(1));
    assert_eq!(found(&directory, 60_000), [edge(1), edge(2)]);
    directory.note_view(registry(2), view(&[4], 1), at(60_100));
    assert_eq!(
        found(&directory, 60_100),
        [edge(4)],
        "old views are discarded"
    );
}

/// Guards against clients that all connect to the first edge after a restart of the whole fleet.
#[test]
fn a_starting_directory_waits_for_the_edges() {
    let mut directory = EdgeDirectory::new(at(0));
    directory.note_view(registry(0), view(&[1], 1), at(200));
    assert_eq!(
        directory.find(CLIENT, 64, at(210)),
        Err(DirectoryError::Discovering)
    );
    directory.note_view(registry(0), view(&[1], 3), at(300));
    assert_eq!(
        directory.find(CLIENT, 64, at(700)),
        Err(DirectoryError::Discovering)
    );
    directory.note_view(registry(0), view(&[1, 2], 3), at(710));
    assert_eq!(found(&directory, 720), [edge(1), edge(2)]);
    let mut empty = EdgeDirectory::new(at(0));
    empty.note_view(registry(0), view(&[], 2), at(200));
    assert_eq!(
        empty.find(CLIENT, 64, at(2000)),
        Err(DirectoryError::NoEdge)
    );
}

/// Guards against more addresses than clients accept, and responses that change over time.
#[test]
fn a_client_always_gets_the_same_few_edges() {
    let mut directory = EdgeDirectory::new(at(0));
    let all: Vec<u8> = (1..=200).collect();
    directory.note_view(registry(0), view(&all, 200), at(100));
    let found_edges = directory.find(CLIENT, 64, at(2000)).expect("edges");
    assert_eq!(found_edges.len(), 64);
    assert_eq!(directory.find(CLIENT, 64, at(9000)), Ok(found_edges));
}
