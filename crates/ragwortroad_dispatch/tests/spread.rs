//! How what edges know spreads over hundreds of them, by small links and without a network.

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

/// Bytes of a text's place on a link.
const PLACE_BYTES: usize = 12;

/// Time of one step of the model.
const STEP_MS: u64 = 10;

/// A fleet whose edges all meet new texts in its first seconds.
struct FleetPlan {
    registries: usize,
    edges: usize,
    /// Bytes a second that a registry's link carries.
    link_rate: f64,
    /// Texts that edges place in each step of the first seconds; each is met by several at once.
    texts: usize,
    /// Time in which new texts come.
    fresh_ms: u64,
}

/// What came of it.
#[derive(Debug, Default)]
struct FleetOutcome {
    /// Longest time for which a heartbeat would have waited for the link of a registry.
    longest_wait: Duration,
    /// When the last edge knew the last place.
    all_known_ms: u64,
    /// Bytes that the busiest registry sent.
    most_sent: usize,
}

/// A registry's link: what was written and has not left yet.
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

/// The places that edges tell in one step: each text is met by several edges, at its one engine.
fn fresh_places(
    plan: &FleetPlan,
    step: u64,
    random: &mut Pcg64Mcg,
) -> Vec<(usize, PrefixLocation)> {
    if step * STEP_MS >= plan.fresh_ms {
        return Vec::new();
    }
    let mut told = Vec::new();
    for index in 0..plan.texts {
        let text = step * 1000 + index as u64;
        let engine = EndpointTag(text as u32 % 99);
        for _ in 0..4 {
            let edge = random.random_range(0..plan.edges);
            told.push((edge, PrefixLocation { text, engine }));
        }
    }
    told
}

/// Plays the fleet with a home for each edge, as registries do.
fn play_homes(plan: &FleetPlan) -> FleetOutcome {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let all: Vec<SocketAddr> = (0..plan.registries).map(registry).collect();
    let home_of = |edge: usize| {
        let home = prefer_registry(&format!("edge-{edge}"), all.iter().copied());
        all.iter().position(|registry| Some(*registry) == home)
    };
    let homes: Vec<usize> = (0..plan.edges).filter_map(home_of).collect();
    assert_eq!(homes.len(), plan.edges, "each edge has a home");
    let mut boards: Vec<LocationLog> = (0..plan.registries)
        .map(|_| LocationLog::new(at(0)))
        .collect();
    for (index, board) in boards.iter_mut().enumerate() {
        let others = all.iter().filter(|registry| **registry != all[index]);
        others.for_each(|registry| board.add_reader(LocationReader::Registry(*registry)));
        let own = homes.iter().enumerate().filter(|(_, home)| **home == index);
        own.for_each(|(edge, _)| board.add_reader(LocationReader::Edge(edge as u64)));
    }
    let pace = SendPace::for_locations(plan.link_rate);
    let mut links: Vec<OutwardLink> = Vec::new();
    links.resize_with(plan.registries, OutwardLink::default);
    let mut tell_at = vec![at(0); plan.registries];
    let mut known: Vec<BTreeSet<u64>> = vec![BTreeSet::new(); plan.edges];
    let mut texts = BTreeSet::new();
    let mut outcome = FleetOutcome::default();
    for step in 0..6000 {
        let now = at(step * STEP_MS);
        for (edge, place) in fresh_places(plan, step, &mut random) {
            texts.insert(place.text);
            boards[homes[edge]].add(&[place], LocationOrigin::Edge, now);
        }
        for index in 0..plan.registries {
            links[index].carry(plan.link_rate);
            if now < tell_at[index] {
                continue;
            }
            let most = pace.max_batch_items(boards[index].reader_count(), PLACE_BYTES as f64);
            let mut bytes = 0;
            for telling in boards[index].next_batches(most) {
                bytes += telling.locations.len() * PLACE_BYTES * telling.readers.len();
                for reader in telling.readers {
                    match reader {
                        LocationReader::Edge(edge) => {
                            let told = telling.locations.iter().map(|place| place.text);
                            known[edge as usize].extend(told);
                        }
                        LocationReader::Registry(peer) => {
                            let origin = LocationOrigin::Registry;
                            let peer = all.iter().position(|registry| *registry == peer);
                            let peer = peer.expect("a registry of the fleet");
                            boards[peer].add(&telling.locations, origin, now);
                        }
                    }
                }
            }
            links[index].write(bytes);
            tell_at[index] = now.after(SPREAD_INTERVAL.max(pace.delay_after(bytes)));
            let wait = links[index].wait(plan.link_rate);
            outcome.longest_wait = outcome.longest_wait.max(wait);
        }
        let is_done = known.iter().all(|known| known.len() == texts.len());
        if step * STEP_MS >= plan.fresh_ms && is_done {
            outcome.all_known_ms = step * STEP_MS;
            break;
        }
    }
    outcome.most_sent = links.iter().map(|link| link.sent).max().unwrap_or(0);
    outcome
}

/// Plays the fleet with one registry that tells all edges all that it has heard, each half second.
fn play_one_keeper(plan: &FleetPlan) -> FleetOutcome {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let pace = SendPace::for_locations(plan.link_rate);
    let mut link = OutwardLink::default();
    let mut untold = Vec::new();
    let mut tell_at = at(0);
    let mut outcome = FleetOutcome::default();
    for step in 0..6000 {
        let now = at(step * STEP_MS);
        untold.extend(fresh_places(plan, step, &mut random));
        link.carry(plan.link_rate);
        if now >= tell_at {
            let bytes = untold.len() * PLACE_BYTES * plan.edges;
            untold.clear();
            link.write(bytes);
            tell_at = now.after(Duration::from_millis(500).max(pace.delay_after(bytes)));
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
        texts: 2,
        fresh_ms: 5000,
    }
}

/// Guards against heartbeats that wait behind places of texts for all edges.
#[test]
fn places_of_texts_never_hold_up_a_heartbeat() {
    let plan = large_fleet();
    let before = play_one_keeper(&plan);
    assert!(
        before.longest_wait > Duration::from_millis(2200),
        "{before:?}"
    );
    let outcome = play_homes(&plan);
    assert!(
        outcome.longest_wait < Duration::from_millis(150),
        "{outcome:?}"
    );
    assert!(
        outcome.all_known_ms > 0,
        "all edges know all places: {outcome:?}"
    );
    let spread_ms = outcome.all_known_ms - plan.fresh_ms;
    assert!(spread_ms <= 1000, "known a second later: {outcome:?}");
    assert!(
        outcome.most_sent * 4 < before.most_sent,
        "{outcome:?} {before:?}"
    );
}

/// Guards against the same on small links and with few edges.
#[test]
fn small_links_and_small_fleets_hold_up_none_either() {
    let plan = FleetPlan {
        edges: 300,
        link_rate: 4e6 / 8.0,
        ..large_fleet()
    };
    let outcome = play_homes(&plan);
    assert!(
        outcome.longest_wait < Duration::from_millis(150),
        "{outcome:?}"
    );
    assert!(outcome.all_known_ms > 0, "{outcome:?}");
    let plan = FleetPlan {
        registries: 5,
        edges: 9,
        ..large_fleet()
    };
    let outcome = play_homes(&plan);
    let spread_ms = outcome.all_known_ms.saturating_sub(plan.fresh_ms);
    assert!(outcome.all_known_ms > 0 && spread_ms <= 600, "{outcome:?}");
}

/// Guards against texts that are read again after a restart although engines hold them.
#[test]
fn places_found_after_a_restart_are_told_within_two_seconds() {
    let link_rate = 6e6 / 8.0;
    let pace = SendPace::for_locations(link_rate);
    let mut board = LocationLog::new(at(0));
    let place = |text| PrefixLocation {
        text,
        engine: EndpointTag(text as u32 % 99),
    };
    board.add_stored((0..2700).map(place).collect(), at(0));
    (0..21).for_each(|edge| board.add_reader(LocationReader::Edge(edge)));
    let mut link = OutwardLink::default();
    let (mut now, mut longest) = (at(0), Duration::ZERO);
    loop {
        let most = pace.max_batch_items(board.reader_count(), PLACE_BYTES as f64);
        let tellings = board.next_batches(most);
        if tellings.is_empty() {
            break;
        }
        let count = tellings
            .iter()
            .map(|telling| telling.locations.len() * telling.readers.len());
        let bytes = count.sum::<usize>() * PLACE_BYTES;
        link.write(bytes);
        longest = longest.max(link.wait(link_rate));
        let next = now.after(SPREAD_INTERVAL.max(pace.delay_after(bytes)));
        while now < next {
            now = now.after(Duration::from_millis(STEP_MS));
            link.carry(link_rate);
        }
    }
    assert!(now <= at(2000), "all told after {:?}", now.since(at(0)));
    assert!(
        longest <= Duration::from_millis(150),
        "a heartbeat waits {longest:?}"
    );
}

/// Guards against a place that others have forgotten and are not told again.
#[test]
fn a_place_that_is_told_again_later_is_spread_again() {
    let place = PrefixLocation {
        text: 9,
        engine: EndpointTag(3),
    };
    let mut board = LocationLog::new(at(0));
    board.add_reader(LocationReader::Edge(1));
    board.add(&[place], LocationOrigin::Edge, at(0));
    board.add(&[place], LocationOrigin::Edge, at(800));
    let tellings = board.next_batches(10);
    assert_eq!(
        tellings[0].locations,
        [place],
        "once, though two edges told it"
    );
    board.add(&[place], LocationOrigin::Edge, at(9000));
    let tellings = board.next_batches(10);
    assert_eq!(tellings[0].locations, [place]);
    assert!(board.next_batches(10).is_empty(), "nothing is left to tell");
}

/// Guards against an edge or registry that lacks what was told before it came.
#[test]
fn a_reader_that_comes_later_is_told_all() {
    let place = |text| PrefixLocation {
        text,
        engine: EndpointTag(3),
    };
    let mut board = LocationLog::new(at(0));
    board.add(&[place(1), place(2)], LocationOrigin::Edge, at(0));
    board.add(&[place(3)], LocationOrigin::Registry, at(0));
    let edge = LocationReader::Edge(1);
    let peer = LocationReader::Registry(registry(2));
    board.add_reader(edge);
    board.add_reader(peer);
    let mut told: BTreeMap<LocationReader, Vec<u64>> = BTreeMap::new();
    for _ in 0..4 {
        for telling in board.next_batches(2) {
            for reader in telling.readers {
                let texts = telling.locations.iter().map(|place| place.text);
                told.entry(reader).or_default().extend(texts);
            }
        }
    }
    assert_eq!(told[&edge], [1, 2, 3]);
    assert_eq!(told[&peer], [1, 2]);
}
