//! How what edges know spreads over hundreds of them, by small links and without a network.

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

use common::at;
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

fn registry(index: usize) -> SocketAddr {
    let ip = Ipv4Addr::new(10, 0, 0, index as u8);
    SocketAddr::new(IpAddr::V4(ip), 7340)
}

/// The places that edges tell in one step: each text is met by several edges, at its one engine.
fn fresh_places(plan: &FleetPlan, step: u64, random: &mut Pcg64Mcg) -> Vec<(usize, PlacedText)> {
    if step * STEP_MS >= plan.fresh_ms {
        return Vec::new();
    }
    let mut told = Vec::new();
    for index in 0..plan.texts {
        let text = step * 1000 + index as u64;
        let engine = EndpointTag(text as u32 % 99);
        for _ in 0..4 {
            let edge = random.random_range(0..plan.edges);
            told.push((edge, PlacedText { text, engine }));
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
    let mut boards: Vec<PlaceBoard> = (0..plan.registries)
        .map(|_| PlaceBoard::new(at(0)))
        .collect();
    for (index, board) in boards.iter_mut().enumerate() {
        let others = all.iter().filter(|registry| **registry != all[index]);
        others.for_each(|registry| board.add_reader(PlaceReader::Registry(*registry)));
        let own = homes.iter().enumerate().filter(|(_, home)| **home == index);
        own.for_each(|(edge, _)| board.add_reader(PlaceReader::Edge(edge as u64)));
    }
    let pace = TellingPace::of_places(plan.link_rate);
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
            boards[homes[edge]].take(&[place], PlaceOrigin::Edge, now);
        }
        for index in 0..plan.registries {
            links[index].carry(plan.link_rate);
            if now < tell_at[index] {
                continue;
            }
            let most = pace.items_at_once(boards[index].readers(), PLACE_BYTES as f64);
            let mut bytes = 0;
            for telling in boards[index].tell(most) {
                bytes += telling.places.len() * PLACE_BYTES * telling.readers.len();
                for reader in telling.readers {
                    match reader {
                        PlaceReader::Edge(edge) => {
                            let told = telling.places.iter().map(|place| place.text);
                            known[edge as usize].extend(told);
                        }
                        PlaceReader::Registry(peer) => {
                            let origin = PlaceOrigin::Registry;
                            let peer = all.iter().position(|registry| *registry == peer);
                            let peer = peer.expect("a registry of the fleet");
                            boards[peer].take(&telling.places, origin, now);
                        }
                    }
                }
            }
            links[index].write(bytes);
            tell_at[index] = now.after(SPREAD_EVERY.max(pace.span(bytes)));
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
    let pace = TellingPace::of_places(plan.link_rate);
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
            tell_at = now.after(Duration::from_millis(500).max(pace.span(bytes)));
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

/// A thousand texts come up in five seconds on a fleet of 191 edges, as on each morning. If a
/// registry writes what all edges are to be told at once, its heartbeats wait for seconds: the other
/// registries and all edges lose it, and callers who ask it for addresses first wait a second each.
/// Told at the pace of the link by way of each edge's home, nothing waits.
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

/// The same on links of 4 Mbit/s with 300 edges, where the places take longer than they come, and
/// on a site of today with five registries and nine edges.
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

/// All processes lose power; each registry finds thousands of places on its disk, and its edges connect.
/// Until they are told, texts are read anew that engines still hold, and streams beside them stall.
#[test]
fn places_found_after_a_restart_are_told_within_two_seconds() {
    let link_rate = 6e6 / 8.0;
    let pace = TellingPace::of_places(link_rate);
    let mut board = PlaceBoard::new(at(0));
    let place = |text| PlacedText {
        text,
        engine: EndpointTag(text as u32 % 99),
    };
    board.take_found((0..2700).map(place).collect(), at(0));
    (0..21).for_each(|edge| board.add_reader(PlaceReader::Edge(edge)));
    let mut link = OutwardLink::default();
    let (mut now, mut longest) = (at(0), Duration::ZERO);
    loop {
        let most = pace.items_at_once(board.readers(), PLACE_BYTES as f64);
        let tellings = board.tell(most);
        if tellings.is_empty() {
            break;
        }
        let count = tellings
            .iter()
            .map(|telling| telling.places.len() * telling.readers.len());
        let bytes = count.sum::<usize>() * PLACE_BYTES;
        link.write(bytes);
        longest = longest.max(link.wait(link_rate));
        let next = now.after(SPREAD_EVERY.max(pace.span(bytes)));
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

/// Edges choose their homes without a message. If many chose the same one, its link would carry
/// their share too; if one is lost, its edges must not all turn to the same other one.
#[test]
fn homes_are_divided_evenly_also_after_a_loss() {
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

/// An edge that forgot a place, as its engine had started anew, tells it again. The others have
/// forgotten it too, so they must be told, although the place was known before.
#[test]
fn a_place_that_is_told_again_later_is_spread_again() {
    let place = PlacedText {
        text: 9,
        engine: EndpointTag(3),
    };
    let mut board = PlaceBoard::new(at(0));
    board.add_reader(PlaceReader::Edge(1));
    board.take(&[place], PlaceOrigin::Edge, at(0));
    board.take(&[place], PlaceOrigin::Edge, at(800));
    let tellings = board.tell(10);
    assert_eq!(
        tellings[0].places,
        [place],
        "once, though two edges told it"
    );
    board.take(&[place], PlaceOrigin::Edge, at(9000));
    let tellings = board.tell(10);
    assert_eq!(tellings[0].places, [place]);
    assert!(board.tell(10).is_empty(), "nothing is left to tell");
}

/// A registry is cut off from another one for a while, or an edge starts. Both are told all that
/// they missed, the registry only what it cannot hear elsewhere.
#[test]
fn a_reader_that_comes_later_is_told_all() {
    let place = |text| PlacedText {
        text,
        engine: EndpointTag(3),
    };
    let mut board = PlaceBoard::new(at(0));
    board.take(&[place(1), place(2)], PlaceOrigin::Edge, at(0));
    board.take(&[place(3)], PlaceOrigin::Registry, at(0));
    let edge = PlaceReader::Edge(1);
    let peer = PlaceReader::Registry(registry(2));
    board.add_reader(edge);
    board.add_reader(peer);
    let mut told: BTreeMap<PlaceReader, Vec<u64>> = BTreeMap::new();
    for _ in 0..4 {
        for telling in board.tell(2) {
            for reader in telling.readers {
                let texts = telling.places.iter().map(|place| place.text);
                told.entry(reader).or_default().extend(texts);
            }
        }
    }
    assert_eq!(told[&edge], [1, 2, 3]);
    assert_eq!(told[&peer], [1, 2]);
}

/// Callers ask from many addresses. If all were told the same 64 of 191 edges, these would carry
/// three times the mean and the others nothing; if answers to one caller changed from one second to
/// the next, it would drop its connections each time.
#[test]
fn callers_are_spread_over_all_edges_and_stay_at_theirs() {
    let ready: Vec<SocketAddr> = (0..191).map(registry).collect();
    let mut counts: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for asker in 0..400_u32 {
        let asker = IpAddr::V4(Ipv4Addr::from(0x0a64_0000 + asker));
        let told = choose_addresses(asker, ready.clone(), 64);
        assert_eq!(told.len(), 64);
        let mut backward = ready.clone();
        backward.reverse();
        assert_eq!(
            told,
            choose_addresses(asker, backward, 64),
            "order is no matter"
        );
        let fewer = ready.iter().copied().filter(|edge| *edge != told[0]);
        let told_fewer = choose_addresses(asker, fewer.collect(), 64);
        let kept = told_fewer.iter().filter(|edge| told.contains(edge));
        assert_eq!(
            kept.count(),
            63,
            "one edge more or less changes one address"
        );
        for edge in told {
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

/// Edges at different registries fill the same engine. Each registry must count what the edges of
/// the others have there, once, and take it out when that registry is lost.
#[test]
fn loads_of_other_registries_edges_count_once() {
    let endpoint = EndpointTag::of("busy");
    let count = |count| LoadCount { endpoint, count };
    let mut here = LoadTotals::default();
    let mut there = LoadTotals::default();
    here.take(LoadSource::Edge(registry(1)), &[count(4)]);
    there.take(LoadSource::Edge(registry(1)), &[count(3)]);
    let (from_here, from_there) = (here.own_news(), there.own_news());
    there.take(LoadSource::Registry(registry(7)), &from_here);
    here.take(LoadSource::Registry(registry(7)), &from_there);
    assert_eq!(here.news(), [count(7)]);
    assert_eq!(there.news(), [count(7)]);
    assert!(
        here.own_news().is_empty(),
        "what came from there is not told back"
    );
    assert_eq!(
        here.own_told(),
        [count(4)],
        "for a registry that comes later"
    );
    here.drop_source(LoadSource::Registry(registry(7)));
    assert_eq!(here.news(), [count(4)]);
    here.drop_source(LoadSource::Edge(registry(1)));
    assert_eq!(here.news(), [count(0)]);
    assert_eq!(here.own_news(), [count(0)]);
}

/// An edge stops. Callers who keep an answer three times as long as they were told must have asked
/// again before its grace time is over, and as many as can be spared may not ask a registry that is
/// gone.
#[test]
fn answers_live_as_long_as_a_stopping_edge_allows() {
    let seconds = Duration::from_secs;
    for grace in [4, 8, 10, 30] {
        let life = answer_life(seconds(grace), seconds(5));
        assert!(
            life * 3 < seconds(grace),
            "{life:?} with a grace time of {grace} s"
        );
        assert!(
            life * 4 >= seconds(grace).min(seconds(20)),
            "{life:?}, {grace} s"
        );
    }
    assert_eq!(
        answer_life(seconds(2), seconds(5)),
        seconds(1),
        "the least that can be told"
    );
}

/// A registry's connection to another one breaks, and it connects anew before the other side has found
/// the old one dead. What its edges have under way must not count twice meanwhile: all engines would
/// seem fuller than they are, and callers be refused while there is room.
#[test]
fn a_registry_that_connects_anew_counts_once() {
    let endpoint = EndpointTag::of("busy");
    let count = |count| LoadCount { endpoint, count };
    let source = LoadSource::Registry(registry(2));
    let mut totals = LoadTotals::default();
    totals.take(LoadSource::Edge(registry(1)), &[count(2)]);
    totals.take(source, &[count(9)]);
    assert_eq!(totals.news(), [count(11)]);
    totals.drop_source(source);
    totals.take(source, &[count(8)]);
    assert_eq!(totals.news(), [count(10)]);
    assert_eq!(
        totals.own_news(),
        [count(2)],
        "and is not told on as this one's own"
    );
}

/// The registries are cut in two, four and five of them, while edges reach all nine. An edge whose home is
/// on the smaller side would hear of half of the loads, take engines for emptier than they are, and
/// admit twice what they carry. All edges must meet on the larger side; a registry that starts and
/// has said nothing yet is as good as any, and where none hears most, one is better than none.
#[test]
fn edges_meet_where_most_registries_hear_each_other() {
    let candidate = |index: usize, hears| HomeCandidate {
        address: registry(index),
        hears,
        voters: 9,
    };
    let cut: Vec<HomeCandidate> = (0..9)
        .map(|index| candidate(index, if index < 4 { 4 } else { 5 }))
        .collect();
    let alone: Vec<HomeCandidate> = (0..9).map(|index| candidate(index, 1)).collect();
    let mut homes = BTreeSet::new();
    for edge in 0..191 {
        let edge = format!("edge-{edge}");
        let home = choose_home(&edge, &cut).expect("a home");
        assert!((4..9).any(|index| registry(index) == home), "{home}");
        homes.insert(home);
        assert!(choose_home(&edge, &alone).is_some());
    }
    assert_eq!(homes.len(), 5);
    let silent = HomeCandidate {
        address: registry(1),
        hears: 0,
        voters: 0,
    };
    assert_eq!(choose_home("edge-1", &[silent]), Some(registry(1)));
}
