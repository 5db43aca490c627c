//! Upper bounds on the traffic of the membership protocol. The example `gossip_cost` measures it in
//! detail.

mod fake_fleet;

use fake_fleet::FakeFleet;
use ragwortroad_membership::prelude::*;

/// Bytes per second that a node sends while loads change, including the overhead of QUIC.
fn bytes_per_second(nodes: usize, endpoints: usize, zones: usize) -> u64 {
    let settings = MembershipSettings::default();
    let mut fleet = FakeFleet::new(1, nodes, endpoints, zones, &settings);
    fleet.verify_homes = false;
    fleet.run_until_converged(120_000);
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

/// Guards against changes that increase the protocol's traffic.
#[test]
fn control_bytes_stay_within_their_bounds() {
    let (small, larger) = (bytes_per_second(9, 23, 3), bytes_per_second(40, 90, 6));
    println!("9 nodes: {small} bytes a second each; 40 nodes: {larger}");
    assert!(small <= 610, "9 nodes: {small}");
    assert!(larger <= 1090, "40 nodes: {larger}");
}
