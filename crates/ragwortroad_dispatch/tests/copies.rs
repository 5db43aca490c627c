//! Distribution of a whole configuration to all edges after a restart of the whole fleet.

use std::{
    collections::VecDeque,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    }, //
};

use ragwortroad_dispatch::prelude::*;

/// A fleet whose edges all request the configuration at the same moment.
struct RestartPlan {
    registries: usize,
    edges: usize,
    /// Size of the compressed configuration in bytes.
    bytes: f64,
    /// Bytes per millisecond that a registry's link carries, and an edge's.
    registry_rate: f64,
    edge_rate: f64,
    /// Whether edges provide copies to each other.
    has_helpers: bool,
}

/// Latency of a message, and interval of a registry's rounds.
const LATENCY_MS: f64 = 10.0;
const ROUND_MS: f64 = 50.0;

fn edge_address(edge: usize) -> SocketAddr {
    let ip = Ipv4Addr::from(0x0a01_0000 + edge as u32);
    SocketAddr::new(IpAddr::V4(ip), 7340)
}

/// Returns when each edge has its copy, in milliseconds after the requests, in ascending order.
fn simulate(plan: &RestartPlan) -> Vec<f64> {
    let mut queues: Vec<CopyQueue> = Vec::new();
    queues.resize_with(plan.registries, CopyQueue::default);
    for edge in 0..plan.edges {
        queues[edge % plan.registries].enqueue(edge as u64);
    }
    let pace = SendPace::for_configs(plan.registry_rate * 1e3);
    let mut link_free_at = vec![0.0_f64; plan.registries];
    let mut edge_free_at = vec![0.0_f64; plan.edges];
    let mut received_at = vec![f64::INFINITY; plan.edges];
    let mut rounds: VecDeque<(f64, usize)> = (0..plan.registries).map(|at| (0.0, at)).collect();
    while let Some((now, at)) = rounds.pop_front() {
        let ready = (0..plan.edges).filter(|edge| received_at[*edge] + LATENCY_MS <= now);
        let helpers: Vec<SocketAddr> = match plan.has_helpers {
            true => ready.map(edge_address).collect(),
            false => Vec::new(),
        };
        let most = pace.max_batch_items(1, plan.bytes);
        let copies = queues[at].plan(most, &helpers);
        for edge in &copies.direct {
            link_free_at[at] = link_free_at[at].max(now) + plan.bytes / plan.registry_rate;
            received_at[*edge as usize] = link_free_at[at] + LATENCY_MS;
        }
        for referral in &copies.referred {
            let helper = (0..plan.edges).find(|edge| edge_address(*edge) == referral.helper);
            let helper = helper.expect("an edge of the fleet");
            let asked = now + LATENCY_MS * 3.0;
            edge_free_at[helper] = edge_free_at[helper].max(asked) + plan.bytes / plan.edge_rate;
            received_at[referral.edge as usize] = edge_free_at[helper] + LATENCY_MS;
        }
        if !queues[at].is_empty() {
            let span = pace.delay_after(copies.direct.len() * plan.bytes as usize);
            let next = now + (span.as_secs_f64() * 1e3).max(ROUND_MS);
            let position = rounds.partition_point(|(other, _)| *other <= next);
            rounds.insert(position, (next, at));
        }
    }
    received_at.sort_by(f64::total_cmp);
    received_at
}

fn large_fleet(has_helpers: bool) -> RestartPlan {
    RestartPlan {
        registries: 9,
        edges: 191,
        bytes: 24e3,
        registry_rate: 750.0,
        edge_rate: 1250.0,
        has_helpers,
    }
}

/// Guards against edges that serve late because the registries' links carry all copies.
#[test]
fn edges_provide_the_configuration_to_each_other() {
    let before = simulate(&large_fleet(false));
    assert!(before[190] > 800.0, "the last after {} ms", before[190]);
    let after = simulate(&large_fleet(true));
    assert!(after[190] < 500.0, "the last after {} ms", after[190]);
    assert!(
        after[95] <= before[95],
        "the median edge: {} and {}",
        after[95],
        before[95]
    );
}

/// Guards against a registry's traffic that grows with the number of edges, here a thousand.
#[test]
fn copies_for_a_thousand_edges_take_little_longer() {
    let plan = RestartPlan {
        edges: 1000,
        ..large_fleet(true)
    };
    let after = simulate(&plan);
    assert!(after[999] < 1000.0, "the last after {} ms", after[999]);
}

/// Guards against referrals in a fleet so small that the registries can serve all edges at once.
#[test]
fn a_small_fleet_needs_no_helpers() {
    let mut queue = CopyQueue::default();
    (0..3).for_each(|edge| queue.enqueue(edge));
    queue.enqueue(2);
    assert_eq!(queue.len(), 3, "no duplicates");
    queue.drop_edge(1);
    let plan = queue.plan(3, &[edge_address(9)]);
    assert_eq!(plan.direct, [0, 2]);
    assert!(plan.referred.is_empty() && queue.is_empty());
}

/// Guards against a single ready edge whose link has to carry the copies for all.
#[test]
fn a_helper_serves_few_edges_at_a_time() {
    let mut queue = CopyQueue::default();
    (0..50).for_each(|edge| queue.enqueue(edge));
    let plan = queue.plan(3, &[edge_address(9)]);
    assert_eq!(plan.direct.len(), 3);
    assert_eq!(plan.referred.len(), 3);
    assert_eq!(queue.len(), 44);
}

/// Guards against an edge that is referred again after another edge has failed to provide a copy.
#[test]
fn an_edge_that_asks_for_a_direct_copy_is_not_referred() {
    let mut queue = CopyQueue::default();
    (0..5).for_each(|edge| queue.enqueue(edge));
    queue.enqueue_direct(4);
    queue.enqueue(4);
    let plan = queue.plan(1, &[edge_address(9)]);
    assert_eq!(plan.direct, [4]);
    let referred: Vec<u64> = plan.referred.iter().map(|referral| referral.edge).collect();
    assert_eq!(referred, [0, 1, 2]);
    queue.enqueue_direct(7);
    let plan = queue.plan(0, &[edge_address(9)]);
    assert!(plan.direct.is_empty(), "it is served in the next round");
    assert_eq!(queue.len(), 1);
    queue.drop_edge(7);
    assert!(queue.is_empty());
}
