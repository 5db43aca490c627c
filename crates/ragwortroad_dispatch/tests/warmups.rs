//! Requests for endpoints that warm up: a model of a fleet's edges, and what registries tell them.

mod common;

use std::{
    collections::BTreeMap,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration, //
};

use common::{
    at,
    record, //
};
use ragwortroad_dispatch::prelude::*;
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};

const EDGES: usize = 300;
const ENGINES: usize = 1000;
/// Every third engine warms up from the model's start on.
const WARMING_EVERY: usize = 3;
const WARMUP_MS: u64 = 3000;
/// Requests a second that a warming engine tolerates, and those it must never get.
const TOLERATED: f64 = 11.0;
const BOUND: f64 = TOLERATED * 1.5 + 5.0;
/// Part of that bound which the fleet uses at most.
const DESIGN_PART: f64 = 0.8;
const SLOTS: u32 = 12;

fn edge_address(index: usize) -> SocketAddr {
    let ip = Ipv4Addr::new(10, 1, (index / 200) as u8, (index % 200) as u8 + 1);
    SocketAddr::new(IpAddr::V4(ip), 8227)
}

/// How edges treat engines that warm up.
#[derive(Clone, Copy, PartialEq)]
enum WarmupRule {
    /// Like all others.
    Ignored,
    /// Each edge sends what its part allows.
    Shared,
}

/// Times of requests to each warming engine, in a fleet that has no place left at warm ones.
fn play(rule: WarmupRule, gap_ms: u64) -> BTreeMap<usize, Vec<u64>> {
    let names: Vec<String> = (0..ENGINES)
        .map(|index| format!("engine-{index}"))
        .collect();
    let tags: Vec<EndpointTag> = names.iter().map(|name| EndpointTag::of(name)).collect();
    let edges: Vec<SocketAddr> = (0..EDGES).map(edge_address).collect();
    let mut paces: Vec<WarmupPace> = edges.iter().map(|_| WarmupPace::default()).collect();
    let warming = (0..ENGINES).step_by(WARMING_EVERY);
    let warming: Vec<usize> = warming.collect();
    for &engine in &warming {
        let chosen = choose_warmup_edges(tags[engine], edges.iter().copied());
        let share = WarmupShare {
            endpoint: tags[engine],
            sharers: chosen.len() as u32,
            valid_ms: WARMUP_MS as u32,
        };
        for (edge, pace) in edges.iter().zip(&mut paces) {
            if chosen.contains(edge) {
                pace.add_share(share, at(0));
            }
        }
    }
    let mut draws = SmallRng::seed_from_u64(7);
    let mut arrivals: BTreeMap<usize, Vec<u64>> = BTreeMap::new();
    for now in 0..WARMUP_MS {
        for (edge, pace) in paces.iter_mut().enumerate() {
            if !(now + edge as u64).is_multiple_of(gap_ms) {
                continue;
            }
            let candidates = warming.iter().filter(|&&engine| {
                rule == WarmupRule::Ignored || pace.may_send(tags[engine], at(now))
            });
            let candidates: Vec<SelectionCandidate<'_>> = candidates
                .map(|&engine| SelectionCandidate {
                    key: EndpointKey(engine as u32),
                    name: &names[engine],
                    load: 0,
                    slots: SLOTS,
                    failure_rate: 0.0,
                    holds_prefix: false,
                })
                .collect();
            // Few texts are asked for by many.
            let text = draws.random_range(0..200);
            let request = SelectionRequest {
                shared_prefix: Some(text),
                draw: draws.random(),
            };
            let settings = SelectionSettings::default();
            let Some(key) = choose_engine(&candidates, request, &settings) else {
                continue;
            };
            let engine = key.0 as usize;
            pace.note_sent(tags[engine], TOLERATED, at(now));
            arrivals.entry(engine).or_default().push(now);
        }
    }
    arrivals
}

/// The most requests that one engine gets within a second.
fn worst_second(arrivals: &BTreeMap<usize, Vec<u64>>) -> usize {
    let counts = arrivals.values().flat_map(|times| {
        let ends = times.iter();
        ends.map(|end| {
            let within = times
                .iter()
                .filter(|time| *time <= end && end - *time < 1000);
            within.count()
        })
    });
    counts.max().unwrap_or(0)
}

/// Guards against edges that all send to the same engine because it has just started and looks empty.
#[test]
fn edges_together_spare_engines_that_warm_up() {
    let ignored = worst_second(&play(WarmupRule::Ignored, 100));
    assert!(ignored as f64 > BOUND, "the load is no test: {ignored}");
    let shared = worst_second(&play(WarmupRule::Shared, 100));
    assert!(shared as f64 <= BOUND * DESIGN_PART, "{shared}");
}

/// Guards against engines that stand idle while they warm up although callers wait for a place.
#[test]
fn engines_that_warm_up_take_most_of_what_they_tolerate() {
    let arrivals = play(WarmupRule::Shared, 20);
    let total: usize = arrivals.values().map(Vec::len).sum();
    let engines = ENGINES.div_ceil(WARMING_EVERY) as f64;
    let rate = total as f64 / engines / (WARMUP_MS as f64 / 1000.0);
    assert!(rate > TOLERATED * 0.6, "{rate}");
}

/// Guards against a share that outlives an endpoint's warm-up and adds to those of the next one.
#[test]
fn a_share_ends_with_its_time() {
    let endpoint = EndpointTag::of("e");
    let mut pace = WarmupPace::default();
    assert!(!pace.may_send(endpoint, at(0)), "nobody gave it a part");
    pace.add_share(
        WarmupShare {
            endpoint,
            sharers: 4,
            valid_ms: 2000,
        },
        at(0),
    );
    assert!(pace.may_send(endpoint, at(10)));
    pace.note_sent(endpoint, 10.0, at(10));
    assert!(!pace.may_send(endpoint, at(400)));
    assert!(pace.may_send(endpoint, at(510)));
    assert!(!pace.may_send(endpoint, at(2000)));
}

const EVERY: Duration = Duration::from_millis(1000);
const HERE: SourceKey = SourceKey(0);

fn cold(sequence: u64, warming_ms: u32) -> EndpointRecord {
    EndpointRecord {
        sequence,
        warming_ms,
        ..record("e")
    }
}

/// Guards against edges that send at the full rate to an endpoint that has gone cold in service.
#[test]
fn an_endpoint_that_cools_down_is_news() {
    let mut table = RegistryTable::new(EVERY);
    assert!(table.announce(cold(1, 0), at(0)).is_some());
    let change = table.announce(cold(2, 3000), at(1000));
    assert_eq!(change, Some(RegistryChange::Cooled(cold(2, 3000))));
    assert_eq!(table.announce(cold(3, 1990), at(2010)), None, "as expected");
    assert_eq!(table.announce(cold(4, 0), at(4010)), None, "warm by now");
    let change = table.announce(cold(5, 3000), at(5000));
    assert!(matches!(change, Some(RegistryChange::Cooled(_))));
    let change = table.announce(cold(6, 0), at(6000));
    assert_eq!(change, Some(RegistryChange::Told(cold(6, 0))), "sooner");
}

/// Guards against edges that connect later and take an endpoint for colder than it is.
#[test]
fn a_registry_tells_the_time_that_is_left() {
    let mut table = RegistryTable::new(EVERY);
    table.announce(cold(1, 3000), at(0));
    let left = |table: &RegistryTable, ms| {
        let record = table.records(at(ms)).next().expect("it is known");
        record.warming_ms
    };
    assert_eq!(left(&table, 1000), 2000);
    assert_eq!(left(&table, 9000), 0);
}

/// Guards against a rush to endpoints that went cold while their domain was drained.
#[test]
fn endpoints_of_a_returned_domain_count_as_warming_up() {
    let mut table = RegistryTable::new(EVERY);
    table.announce(cold(1, 0), at(0));
    assert_eq!(table.undrain_domain("elsewhere", at(500)), []);
    let changes = table.undrain_domain("a", at(500));
    assert_eq!(changes, [RegistryChange::Cooled(cold(1, 2000))]);
    let change = table.announce(cold(2, 0), at(1000));
    assert_eq!(change, Some(RegistryChange::Told(cold(2, 0))));

    let mut known = EndpointTable::default();
    known.apply_record(HERE, cold(1, 0), at(0));
    let (key, _) = known.ready("llm").next().expect("it is ready");
    assert!(!known.is_warming(key, at(0)));
    known.undrain_domain("a", at(2500));
    assert!(known.is_warming(key, at(2400)));
    assert!(!known.is_warming(key, at(2500)));
}
