//! Random schedules of failures over many membership tables, generated from seeds.

mod fake_fleet;

use fake_fleet::FakeFleet;
use ragwortroad_membership::prelude::*;
use rand::RngExt;

/// Causes a random disturbance and returns its name.
fn disturb(fleet: &mut FakeFleet) -> &'static str {
    let node = fleet.rng.random_range(0..fleet.nodes.len());
    let other = fleet.rng.random_range(0..fleet.nodes.len());
    let endpoint = fleet.rng.random_range(0..fleet.endpoints.len());
    let span = fleet.rng.random_range(500..15_000);
    match fleet.rng.random_range(0..9) {
        0 => {
            fleet.nodes[node].table = None;
            "node killed"
        }
        1 | 2 => {
            fleet.nodes[node].paused_until = fleet.now + span;
            "node paused"
        }
        3 => {
            fleet.network.cuts.insert((node, other));
            fleet.network.last_cut = fleet.now;
            "one-way cut"
        }
        4 => {
            fleet.start_node(node);
            "node restarted"
        }
        5 => {
            fleet.endpoints[endpoint].stop();
            "endpoint killed"
        }
        6 | 7 => {
            fleet.start_endpoint(endpoint);
            "endpoint restarted"
        }
        _ => {
            fleet.input(node, GossipInput::LeaveStarted);
            "node leaving"
        }
    }
}

/// Ends all disturbances and restarts every node and endpoint that is stopped or leaving.
fn end_disturbances(fleet: &mut FakeFleet) {
    fleet.network.loss = 0.0;
    fleet.network.long_delay = 0.0;
    fleet.network.cuts.clear();
    fleet.network.partitioned_regions.clear();
    for node in 0..fleet.nodes.len() {
        fleet.nodes[node].paused_until = 0;
        let own = fleet.nodes[node].id();
        let alive = fleet.nodes[node]
            .table
            .as_ref()
            .and_then(|table| table.node(own));
        if alive.is_none_or(|record| record.state != NodeState::Alive) {
            fleet.start_node(node);
        }
    }
    for endpoint in 0..fleet.endpoints.len() {
        if !fleet.endpoints[endpoint].up || fleet.endpoints[endpoint].leaving {
            fleet.start_endpoint(endpoint);
        }
    }
}

/// Runs one schedule of 30 disturbances over some minutes.
fn run_schedule(seed: u64, settings: &MembershipSettings) -> FakeFleet {
    let mut fleet = FakeFleet::new(seed, 9, 23, 3, settings);
    fleet.network.loss = 0.05;
    fleet.network.duplication = 0.02;
    fleet.network.long_delay = 0.03;
    for endpoint in &mut fleet.endpoints {
        endpoint.load_change = 0.5;
    }
    fleet.run_checked(15_000);
    for _ in 0..30 {
        disturb(&mut fleet);
        let pause = fleet.rng.random_range(100..6000);
        fleet.run_checked(pause);
    }
    fleet
}

#[test]
fn a_small_fleet_converges() {
    for seed in 0..5 {
        let mut fleet = FakeFleet::new(seed, 9, 23, 3, &MembershipSettings::default());
        fleet.run_until_converged(30_000);
        fleet.run_checked(30_000);
        assert_eq!(fleet.disagreement(), None);
        assert_eq!(fleet.findings.node_downs, 0);
        assert_eq!(fleet.findings.double_homes, Vec::<String>::new());
    }
}

/// Guards against two homes at once, and against views that never converge.
#[test]
fn no_schedule_grants_two_homes_and_all_fleets_converge() {
    let mut total = fake_fleet::FleetFindings::default();
    for seed in 0..40 {
        let mut fleet = run_schedule(seed, &MembershipSettings::default());
        end_disturbances(&mut fleet);
        fleet.run_until_converged(400_000);
        let found = &fleet.findings;
        assert!(
            found.double_homes.is_empty(),
            "seed {seed}: {:?}",
            found.double_homes
        );
        total.events += found.events;
        total.home_checks += found.home_checks;
        total.network_faults += found.network_faults;
        total.switches += found.switches;
        total.announces += found.announces;
        total.node_downs += found.node_downs;
        total.false_downs += found.false_downs;
    }
    println!("40 schedules of 30 disturbances: {total:?}");
}

/// Guards against schedules that fail to detect two homes: here one node uses a longer lease than
/// the others assume.
#[test]
fn a_node_with_a_longer_lease_than_its_peers_assume_is_detected() {
    let mut detected = 0;
    for seed in 0..10 {
        let mut fleet = FakeFleet::new(seed, 9, 23, 3, &MembershipSettings::default());
        let longer = MembershipSettings {
            home_lease: MembershipSettings::default().home_lease * 3,
            ..MembershipSettings::default()
        };
        fleet.settings = longer;
        fleet.start_node(0);
        fleet.run_checked(120_000);
        fleet.network.cuts.extend((1..9).map(|other| (0, other)));
        for round in 0..6 {
            fleet.nodes[0].paused_until = fleet.now + 1500;
            fleet.run_checked(if round % 2 == 0 { 10_000 } else { 70_000 });
        }
        detected += usize::from(!fleet.findings.double_homes.is_empty());
    }
    assert!(detected > 0, "no schedule detected two homes");
}
