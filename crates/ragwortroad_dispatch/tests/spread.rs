//! Distribution of prefix locations to hundreds of edges over small links, simulated without a
//! network.

mod common;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    time::Duration, //
};

use common::{
    at,
    registry, //
};
use ragwortroad_dispatch::prelude::*;
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

/// Bytes of a prefix location on a link.
const LOCATION_BYTES: usize = 12;

/// Simulated time per step.
const STEP_MS: u64 = 10;

/// A fleet whose edges all get new prefixes in its first seconds.
struct FleetPlan {
    registries: usize,
    edges: usize,
    /// Bytes per second that a registry's link carries.
    link_rate: f64,
    /// New prefixes in each step of the first seconds; several edges get each at once.
    prefixes: usize,
    /// Period in which new prefixes appear.
    new_prefix_ms: u64,
}

/// Result of a simulation.
#[derive(Debug, Default)]
struct FleetOutcome {
    /// Longest time for which a heartbeat would have been queued at a registry's link.
    longest_wait: Duration,
    /// When the last edge received the last location.
    all_received_ms: u64,
    /// Bytes sent by the busiest registry.
    most_sent: usize,
}

/// A registry's link, with the bytes that are queued on it.
#[derive(Default)]
struct OutwardLink {
    queued: f64,
    sent: usize,
}

impl OutwardLink {
    fn write(&mut self, bytes: usize) {
        self.queued += bytes as f64;
        self.sent += bytes;
    }

    fn carry(&mut self, rate: f64) {
        self.queued = (self.queued - rate * STEP_MS as f64 / 1e3).max(0.0);
    }

    fn wait(&self, rate: f64) -> Duration {
        Duration::from_secs_f64(self.queued / rate)
    }
}

/// Returns the locations reported in one step: several edges get each prefix and select the same
/// engine.
fn new_locations(
    plan: &FleetPlan,
    step: u64,
    random: &mut Pcg64Mcg,
) -> Vec<(usize, PrefixLocation)> {
    if step * STEP_MS >= plan.new_prefix_ms {
        return Vec::new();
    }
    let mut reported = Vec::new();
    for index in 0..plan.prefixes {
        let text = step * 1000 + index as u64;
        let engine = EndpointTag(text as u32 % 99);
        for _ in 0..4 {
            let edge = random.random_range(0..plan.edges);
            reported.push((edge, PrefixLocation { text, engine }));
        }
    }
    reported
}

/// Simulates the fleet with a home registry for each edge, as in production.
fn simulate_homes(plan: &FleetPlan) -> FleetOutcome {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let all: Vec<SocketAddr> = (0..plan.registries).map(registry).collect();
    let home_of = |edge: usize| {
        let home = prefer_registry(&format!("edge-{edge}"), all.iter().copied());
        all.iter().position(|registry| Some(*registry) == home)
    };
    let homes: Vec<usize> = (0..plan.edges).filter_map(home_of).collect();
    assert_eq!(homes.len(), plan.edges, "each edge has a home");
    let mut logs: Vec<LocationLog> = (0..plan.registries)
        .map(|_| LocationLog::new(at(0)))
        .collect();
    for (index, log) in logs.iter_mut().enumerate() {
        let others = all.iter().filter(|registry| **registry != all[index]);
        others.for_each(|registry| log.add_reader(LocationReader::Registry(*registry)));
        let own = homes.iter().enumerate().filter(|(_, home)| **home == index);
        own.for_each(|(edge, _)| log.add_reader(LocationReader::Edge(edge as u64)));
    }
    let pace = SendPace::for_locations(plan.link_rate);
    let mut links: Vec<OutwardLink> = Vec::new();
    links.resize_with(plan.registries, OutwardLink::default);
    let mut send_at = vec![at(0); plan.registries];
    let mut received: Vec<BTreeSet<u64>> = vec![BTreeSet::new(); plan.edges];
    let mut prefixes = BTreeSet::new();
    let mut outcome = FleetOutcome::default();
    for step in 0..6000 {
        let now = at(step * STEP_MS);
        for (edge, location) in new_locations(plan, step, &mut random) {
            prefixes.insert(location.text);
            logs[homes[edge]].add(&[location], LocationOrigin::Edge, now);
        }
        for index in 0..plan.registries {
            links[index].carry(plan.link_rate);
            if now < send_at[index] {
                continue;
            }
            let most = pace.max_batch_items(logs[index].reader_count(), LOCATION_BYTES as f64);
            let mut bytes = 0;
            for batch in logs[index].next_batches(most) {
                bytes += batch.locations.len() * LOCATION_BYTES * batch.readers.len();
                for reader in batch.readers {
                    match reader {
                        LocationReader::Edge(edge) => {
                            let reported = batch.locations.iter().map(|location| location.text);
                            received[edge as usize].extend(reported);
                        }
                        LocationReader::Registry(peer) => {
                            let origin = LocationOrigin::Registry;
                            let peer = all.iter().position(|registry| *registry == peer);
                            let peer = peer.expect("a registry of the fleet");
                            logs[peer].add(&batch.locations, origin, now);
                        }
                    }
                }
            }
            links[index].write(bytes);
            send_at[index] = now.after(SPREAD_INTERVAL.max(pace.delay_after(bytes)));
            let wait = links[index].wait(plan.link_rate);
            outcome.longest_wait = outcome.longest_wait.max(wait);
        }
        let is_done = received
            .iter()
            .all(|received| received.len() == prefixes.len());
        if step * STEP_MS >= plan.new_prefix_ms && is_done {
            outcome.all_received_ms = step * STEP_MS;
            break;
        }
    }
    outcome.most_sent = links.iter().map(|link| link.sent).max().unwrap_or(0);
    outcome
}

/// Simulates the fleet with one registry that sends all reported locations to all edges every half
/// second.
fn simulate_single_registry(plan: &FleetPlan) -> FleetOutcome {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let pace = SendPace::for_locations(plan.link_rate);
    let mut link = OutwardLink::default();
    let mut unsent = Vec::new();
    let mut send_at = at(0);
    let mut outcome = FleetOutcome::default();
    for step in 0..6000 {
        let now = at(step * STEP_MS);
        unsent.extend(new_locations(plan, step, &mut random));
        link.carry(plan.link_rate);
        if now >= send_at {
            let bytes = unsent.len() * LOCATION_BYTES * plan.edges;
            unsent.clear();
            link.write(bytes);
            send_at = now.after(Duration::from_millis(500).max(pace.delay_after(bytes)));
        }
        outcome.longest_wait = outcome.longest_wait.max(link.wait(plan.link_rate));
    }
    outcome.most_sent = link.sent;
    outcome
}

fn large_fleet() -> FleetPlan {
    FleetPlan {
        registries: 9,
        edges: 191,
        link_rate: 6e6 / 8.0,
        prefixes: 2,
        new_prefix_ms: 5000,
    }
}

/// Guards against heartbeats that queue behind prefix locations for all edges.
#[test]
fn prefix_locations_never_delay_a_heartbeat() {
    let plan = large_fleet();
    let before = simulate_single_registry(&plan);
    assert!(
        before.longest_wait > Duration::from_millis(2200),
        "{before:?}"
    );
    let outcome = simulate_homes(&plan);
    assert!(
        outcome.longest_wait < Duration::from_millis(150),
        "{outcome:?}"
    );
    assert!(
        outcome.all_received_ms > 0,
        "not all edges received all locations: {outcome:?}"
    );
    let delay_ms = outcome.all_received_ms - plan.new_prefix_ms;
    assert!(
        delay_ms <= 1000,
        "locations took more than a second: {outcome:?}"
    );
    assert!(
        outcome.most_sent * 4 < before.most_sent,
        "{outcome:?} {before:?}"
    );
}

/// Guards against delayed heartbeats on small links and with few edges.
#[test]
fn small_links_and_small_fleets_never_delay_a_heartbeat() {
    let plan = FleetPlan {
        edges: 300,
        link_rate: 4e6 / 8.0,
        ..large_fleet()
    };
    let outcome = simulate_homes(&plan);
    assert!(
        outcome.longest_wait < Duration::from_millis(150),
        "{outcome:?}"
    );
    assert!(outcome.all_received_ms > 0, "{outcome:?}");
    let plan = FleetPlan {
        registries: 5,
        edges: 9,
        ..large_fleet()
    };
    let outcome = simulate_homes(&plan);
    let delay_ms = outcome.all_received_ms.saturating_sub(plan.new_prefix_ms);
    assert!(
        outcome.all_received_ms > 0 && delay_ms <= 600,
        "{outcome:?}"
    );
}

/// Guards against prefixes that are computed again after a restart although engines hold them.
#[test]
fn stored_locations_are_sent_within_two_seconds_of_a_restart() {
    let link_rate = 6e6 / 8.0;
    let pace = SendPace::for_locations(link_rate);
    let mut log = LocationLog::new(at(0));
    let location = |text| PrefixLocation {
        text,
        engine: EndpointTag(text as u32 % 99),
    };
    log.add_stored((0..2700).map(location).collect(), at(0));
    (0..21).for_each(|edge| log.add_reader(LocationReader::Edge(edge)));
    let mut link = OutwardLink::default();
    let (mut now, mut longest) = (at(0), Duration::ZERO);
    loop {
        let most = pace.max_batch_items(log.reader_count(), LOCATION_BYTES as f64);
        let batches = log.next_batches(most);
        if batches.is_empty() {
            break;
        }
        let count = batches
            .iter()
            .map(|batch| batch.locations.len() * batch.readers.len());
        let bytes = count.sum::<usize>() * LOCATION_BYTES;
        link.write(bytes);
        longest = longest.max(link.wait(link_rate));
        let next = now.after(SPREAD_INTERVAL.max(pace.delay_after(bytes)));
        while now < next {
            now = now.after(Duration::from_millis(STEP_MS));
            link.carry(link_rate);
        }
    }
    assert!(now <= at(2000), "all sent after {:?}", now.since(at(0)));
    assert!(
        longest <= Duration::from_millis(150),
        "a heartbeat waits {longest:?}"
    );
}

/// Guards against a location that others have forgotten and do not receive again.
#[test]
fn a_location_reported_again_later_is_sent_again() {
    let location = PrefixLocation {
        text: 9,
        engine: EndpointTag(3),
    };
    let mut log = LocationLog::new(at(0));
    log.add_reader(LocationReader::Edge(1));
    log.add(&[location], LocationOrigin::Edge, at(0));
    log.add(&[location], LocationOrigin::Edge, at(800));
    let batches = log.next_batches(10);
    assert_eq!(
        batches[0].locations,
        [location],
        "sent once, though two edges reported it"
    );
    log.add(&[location], LocationOrigin::Edge, at(9000));
    let batches = log.next_batches(10);
    assert_eq!(batches[0].locations, [location]);
    assert!(log.next_batches(10).is_empty(), "nothing is left to send");
}

/// Guards against an edge or registry without the locations that were sent before it connected.
#[test]
fn a_late_reader_gets_all_locations() {
    let location = |text| PrefixLocation {
        text,
        engine: EndpointTag(3),
    };
    let mut log = LocationLog::new(at(0));
    log.add(&[location(1), location(2)], LocationOrigin::Edge, at(0));
    log.add(&[location(3)], LocationOrigin::Registry, at(0));
    let edge = LocationReader::Edge(1);
    let peer = LocationReader::Registry(registry(2));
    log.add_reader(edge);
    log.add_reader(peer);
    let mut reported: BTreeMap<LocationReader, Vec<u64>> = BTreeMap::new();
    for _ in 0..4 {
        for batch in log.next_batches(2) {
            for reader in batch.readers {
                let prefixes = batch.locations.iter().map(|location| location.text);
                reported.entry(reader).or_default().extend(prefixes);
            }
        }
    }
    assert_eq!(reported[&edge], [1, 2, 3]);
    assert_eq!(reported[&peer], [1, 2]);
}
