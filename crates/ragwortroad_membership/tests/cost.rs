//! What membership may cost; the measurement itself is the example `gossip_cost`.

mod fake_fleet;

use fake_fleet::FakeFleet;
use ragwortroad_membership::prelude::*;

/// Bytes a node sends each second with loads changing, QUIC's share included.
fn bytes_per_second(nodes: usize, endpoints: usize, zones: usize) -> u64 {
    let settings = MembershipSettings::default();
    let mut fleet = FakeFleet::new(1, nodes, endpoints, zones, &settings);
    fleet.verify_homes = false;
    fleet.settle(120_000);
    for endpoint in &mut fleet.endpoints {
        endpoint.load_change = 0.5;
    }
    fleet.run(30_000);
    let overhead = u64::from(settings.packet_overhead_bytes);
    let sent = |fleet: &FakeFleet| -> u64 {
        let bytes =
            |node: &fake_fleet::fake_node::FakeNode| node.bytes_out + node.packets_out * overhead;
        fleet.nodes.iter().map(bytes).sum()
    };
    let before = sent(&fleet);
    fleet.run(60_000);
    (sent(&fleet) - before) / nodes as u64 / 60
}

/// Guards against changes that cost more control bytes.
#[test]
fn control_bytes_stay_within_their_bounds() {
    let (small, larger) = (bytes_per_second(9, 23, 3), bytes_per_second(40, 90, 6));
    println!("9 nodes: {small} bytes a second each; 40 nodes: {larger}");
    assert!(small <= 610, "9 nodes: {small}");
    assert!(larger <= 1090, "40 nodes: {larger}");
}
