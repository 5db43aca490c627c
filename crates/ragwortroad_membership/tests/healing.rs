//! Failures of nodes, network paths and endpoints, and the reconciliation of views afterwards.

mod fake_fleet;

use fake_fleet::FakeFleet;
use ragwortroad_membership::prelude::*;

fn converged_fleet(seed: u64, nodes: usize, endpoints: usize, zones: usize) -> FakeFleet {
    let settings = MembershipSettings::default();
    let mut fleet = FakeFleet::new(seed, nodes, endpoints, zones, &settings);
    fleet.run_until_converged(120_000);
    fleet
}

/// Guards against new work for an endpoint that is shutting down while packets are lost.
#[test]
fn a_leaving_endpoint_is_unavailable_everywhere_within_three_seconds() {
    let mut slowest = 0;
    for seed in 0..10 {
        let mut fleet = converged_fleet(seed, 40, 60, 6);
        fleet.network.loss = 0.1;
        fleet.run(5_000);
        fleet.endpoints[7].leaving = true;
        let id = fleet.endpoints[7].id();
        let start = fleet.now;
        // Measures from the announcement that reports the shutdown; it is due within a second.
        while fleet.tables().all(|table| table.is_available(id)) {
            fleet.run(10);
            assert!(
                fleet.now - start < 5_000,
                "no node received the announcement"
            );
        }
        let announced_at = fleet.now;
        while fleet.tables().any(|table| table.is_available(id)) {
            fleet.run(10);
        }
        slowest = slowest.max(fleet.now - announced_at);
        assert!(
            fleet.now - announced_at < 3_000,
            "seed {seed}: {} ms",
            fleet.now - announced_at
        );
    }
    println!("10 runs, 40 nodes, 10 % loss: the slowest took {slowest} ms");
}

/// Guards against a node that is marked down because a path to it is cut in one direction.
#[test]
fn a_one_way_cut_marks_no_node_down() {
    for seed in 0..10 {
        let mut fleet = converged_fleet(seed, 12, 12, 3);
        let neighbour = fleet.nodes[0]
            .table
            .as_ref()
            .unwrap()
            .neighbours()
            .next()
            .unwrap();
        let other = fleet
            .nodes
            .iter()
            .position(|node| node.id() == neighbour)
            .unwrap();
        fleet.network.cuts.insert((other, 0));
        let downs = fleet.findings.node_downs;
        fleet.run(120_000);
        assert_eq!(fleet.findings.node_downs, downs, "seed {seed}");
        assert_eq!(fleet.disagreement(), None);
    }
}

/// Guards against a node that is marked down although its pause ends before the suspicion
/// expires.
#[test]
fn a_paused_node_refutes_the_suspicion() {
    let mut refuted = 0;
    for seed in 0..10 {
        let mut fleet = converged_fleet(seed, 12, 12, 3);
        let downs = fleet.findings.node_downs;
        fleet.nodes[3].paused_until = fleet.now + 8_000;
        fleet.run(40_000);
        assert_eq!(fleet.findings.node_downs, downs, "seed {seed}");
        refuted += fleet.nodes[3].table.as_ref().unwrap().stats().refutations;
        fleet.run_until_converged(30_000);
    }
    assert!(refuted >= 10, "no node suspected the paused one: {refuted}");
}

/// Guards against traffic beyond the budget when partitioned regions reconnect.
#[test]
fn regions_partitioned_for_an_hour_converge_within_the_budget() {
    let mut fleet = converged_fleet(1, 18, 36, 6);
    fleet.network.partitioned_regions.insert(1);
    fleet.network.last_cut = fleet.now;
    fleet.run(120_000);
    for node in &fleet.nodes {
        let table = node.table.as_ref().unwrap();
        assert_eq!(
            table.live_nodes().count(),
            9,
            "each side of the partition must keep its 9 nodes"
        );
    }
    for endpoint in 0..12 {
        fleet.start_endpoint(endpoint);
    }
    fleet.run(3_480_000);
    fleet.network.partitioned_regions.clear();
    let before: Vec<(u64, u64)> = fleet
        .nodes
        .iter()
        .map(|node| (node.bytes_out, node.packets_out))
        .collect();
    let downs = fleet.findings.node_downs;
    let converged_ms = fleet.run_until_converged(120_000);
    assert_eq!(
        fleet.findings.node_downs, downs,
        "a node was marked down after the partition healed"
    );
    let settings = &fleet.settings;
    let allowed = u64::from(settings.bytes_per_second) * converged_ms / 1000
        + 2 * u64::from(settings.burst_bytes);
    let mut max_bytes = 0;
    for (node, (bytes, packets)) in fleet.nodes.iter().zip(before) {
        let overhead = (node.packets_out - packets) * u64::from(settings.packet_overhead_bytes);
        max_bytes = max_bytes.max(node.bytes_out - bytes + overhead);
    }
    println!(
        "views converged in {converged_ms} ms; at most {max_bytes} bytes from one node, {allowed} allowed"
    );
    assert!(max_bytes < allowed);
}

/// Guards against endpoints that are left without a home after a failure domain is lost.
#[test]
fn a_lost_failure_domain_is_noticed_and_its_endpoints_move() {
    let mut slowest = 0;
    for seed in 0..5 {
        let mut fleet = converged_fleet(seed, 15, 30, 3);
        for index in 0..fleet.nodes.len() {
            if fleet.nodes[index].zone == 0 {
                fleet.nodes[index].table = None;
            }
        }
        for endpoint in fleet.endpoints.iter_mut().filter(|one| one.zone == 0) {
            endpoint.stop();
        }
        slowest = slowest.max(fleet.run_until_converged(60_000));
    }
    println!("5 runs, 15 nodes, a third lost: converged after at most {slowest} ms");
}

/// Guards against a flapping endpoint that still gets work, or never gets work again.
#[test]
fn a_flapping_endpoint_is_damped_and_comes_back() {
    let mut fleet = converged_fleet(3, 12, 12, 3);
    let id = fleet.endpoints[5].id();
    let bytes = |fleet: &FakeFleet| -> u64 {
        fleet
            .tables()
            .map(|table| table.stats().endpoint_bytes)
            .sum()
    };
    let start = bytes(&fleet);
    for _ in 0..30 {
        fleet.endpoints[5].stop();
        fleet.run(500);
        fleet.start_endpoint(5);
        fleet.run(1500);
    }
    let sent_bytes = bytes(&fleet) - start;
    assert!(
        fleet.tables().all(|table| !table.is_available(id)),
        "the flapping endpoint still gets work"
    );
    fleet.run(30_000);
    assert!(
        fleet.tables().all(|table| !table.is_available(id)),
        "the endpoint became available too soon"
    );
    let recovery_ms = fleet.run_until_converged(400_000);
    println!(
        "30 restarts in 60 s cost {sent_bytes} bytes over 12 nodes; available again after {recovery_ms} ms more"
    );
    // If each of 30 restarts were sent to 12 nodes in three copies of 130 bytes, that would be
    // 140,000 bytes.
    assert!(sent_bytes < 70_000, "{sent_bytes} bytes");
}
