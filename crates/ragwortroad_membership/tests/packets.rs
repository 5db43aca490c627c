//! Packets that no correct node sends.

use std::net::SocketAddr;

use proptest::prelude::*;
use ragwortroad_membership::prelude::*;
use ragwortroad_types::prelude::*;

fn table(name: &str, port: u16) -> MembershipTable {
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let seed = SeedNode {
        node: NodeId::from_name("a"),
        address: address(7000),
    };
    let settings = MembershipSettings {
        seeds: vec![seed],
        ..Default::default()
    };
    MembershipTable::new(settings, NodeRecord::new(name, "zone", address(port)), 1)
}

/// Returns the packets that two tables exchange when they first meet.
fn valid_packets() -> Vec<Vec<u8>> {
    let mut tables = [table("a", 7000), table("b", 7001)];
    let mut packets = Vec::new();
    for step in 0..100 {
        for side in [1, 0] {
            let now = ClockTime(step * 100);
            let from = tables[side].own_id();
            for action in tables[side].handle(GossipInput::Tick, now) {
                if let GossipAction::Send { bytes, .. } = action {
                    packets.push(bytes.clone());
                    tables[1 - side].handle(GossipInput::Packet { from, bytes }, now);
                }
            }
        }
    }
    packets
}

proptest! {
    /// Guards against a faulty or malicious sender that makes a node panic or takes its place.
    #[test]
    fn arbitrary_packet_bytes_leave_the_node_alive(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut table = table("a", 7000);
        let from = NodeId::from_name("b");
        table.handle(GossipInput::Packet { from, bytes }, ClockTime(10));
        let own = table.node(table.own_id()).expect("table holds its own record");
        prop_assert_eq!(own.state, NodeState::Alive);
    }

    /// Guards against a panic on a bit flip that all lower layers miss.
    #[test]
    fn a_corrupted_packet_does_not_panic(pick in any::<prop::sample::Index>(), at in any::<prop::sample::Index>(), mask in 1u8..) {
        let packets = valid_packets();
        prop_assert!(packets.len() > 10);
        let mut bytes = pick.get(&packets).clone();
        let at = at.index(bytes.len());
        bytes[at] ^= mask;
        let mut table = table("a", 7000);
        let from = NodeId::from_name("b");
        for time in 0..50 {
            table.handle(GossipInput::Packet { from, bytes: bytes.clone() }, ClockTime(time * 100));
            table.handle(GossipInput::Tick, ClockTime(time * 100));
        }
    }
}

#[test]
fn a_packet_from_an_unknown_node_without_its_record_is_refused() {
    let mut table = table("a", 7000);
    let from = NodeId::from_name("stranger");
    let bytes = vec![1, 0, 0, 0, 0, 1, 0, 0, 0, 0, 0];
    let actions = table.handle(GossipInput::Packet { from, bytes }, ClockTime(10));
    assert_eq!(actions, Vec::new());
    assert_eq!(table.stats().packets_refused, 1);
}

#[test]
fn a_blob_reaches_its_peer_and_an_oversized_one_is_refused() {
    let mut tables = [table("a", 7000), table("b", 7001)];
    assert!(!tables[0].set_blob(1, vec![0; 513]));
    for (step, content) in [(0, b"one"), (40, b"two")] {
        assert!(tables[0].set_blob(1, content.to_vec()));
        for tick in step..step + 40 {
            let now = ClockTime(tick * 100);
            for side in [1, 0] {
                let mut inputs = vec![(side, GossipInput::Tick)];
                while let Some((side, input)) = inputs.pop() {
                    let from = tables[side].own_id();
                    for action in tables[side].handle(input, now) {
                        if let GossipAction::Send { bytes, .. } = action {
                            inputs.push((1 - side, GossipInput::Packet { from, bytes }));
                        }
                    }
                }
            }
        }
        let blobs: Vec<(NodeId, &[u8])> = tables[1].blobs(1).collect();
        assert_eq!(blobs, vec![(tables[0].own_id(), &content[..])]);
    }
}
