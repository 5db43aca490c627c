//! Where requests go: text kept in place, loads within the bound, the same choice at all edges.

mod common;

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use common::at;
use ragwortroad_dispatch::prelude::*;
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

fn candidate(key: u32, name: &str, load: u32) -> PlaceCandidate<'_> {
    PlaceCandidate {
        key: EndpointKey(key),
        name,
        load,
        slots: 128,
        is_near: false,
        failing: 0.0,
        holds_text: false,
    }
}

fn request(text: u64) -> PlaceRequest {
    PlaceRequest {
        shared_text: Some(text),
        draw: 0.0,
    }
}

fn names(count: u32) -> Vec<String> {
    (0..count).map(|index| format!("engine-{index}")).collect()
}

/// Many edges choose without asking each other. If they disagreed, each text would be read by
/// as many engines as there are edges.
#[test]
fn edges_that_know_the_same_choose_the_same() {
    let names = names(12);
    let settings = PlaceSettings::default();
    for text in 0..200 {
        let forward: Vec<_> = (0..12)
            .map(|key| candidate(key, &names[key as usize], 4))
            .collect();
        let backward: Vec<_> = forward.iter().rev().copied().collect();
        let here = choose_engine(&forward, request(text), &settings);
        assert_eq!(here, choose_engine(&backward, request(text), &settings));
    }
}

/// An engine joins. Texts that others hold must stay there: moved by the hash alone, one in
/// thirteen would be read again.
#[test]
fn a_joining_engine_moves_no_text() {
    let names = names(13);
    let settings = PlaceSettings::default();
    let mut moved_by_hash = 0;
    for text in 0..300 {
        let mut candidates: Vec<_> = (0..12)
            .map(|key| candidate(key, &names[key as usize], 4))
            .collect();
        let before = choose_engine(&candidates, request(text), &settings).expect("an engine");
        candidates.push(candidate(12, &names[12], 0));
        moved_by_hash +=
            usize::from(choose_engine(&candidates, request(text), &settings) != Some(before));
        candidates[before.0 as usize].holds_text = true;
        assert_eq!(
            choose_engine(&candidates, request(text), &settings),
            Some(before)
        );
    }
    assert!(
        moved_by_hash > 10,
        "the hash alone moves {moved_by_hash} of 300"
    );
}

/// One text is asked for far more than all others. Its engine must not take all of it.
#[test]
fn a_text_overflows_at_the_bound() {
    let names = names(12);
    let settings = PlaceSettings::within(2.0);
    let mut loads = [8_u32; 12];
    let mut holders = BTreeSet::new();
    for _ in 0..60 {
        let candidates: Vec<_> = (0..12)
            .map(|key| PlaceCandidate {
                holds_text: holders.contains(&key),
                ..candidate(key, &names[key as usize], loads[key as usize])
            })
            .collect();
        let chosen = choose_engine(&candidates, request(7), &settings).expect("an engine");
        loads[chosen.0 as usize] += 1;
        holders.insert(chosen.0);
        let mean = f64::from(loads.iter().sum::<u32>()) / 12.0;
        let most = f64::from(loads.iter().copied().max().unwrap_or(0));
        assert!(most <= mean * 2.0 + 3.0, "{loads:?}");
    }
    assert!((2..=6).contains(&holders.len()), "held by {holders:?}");
}

/// Nine edges place the requests of a busy site; each sees the others' work only through readings
/// half a second old. No engine may carry more than twice the mean and three.
#[test]
fn nine_edges_with_late_readings_keep_the_bound() {
    let names = names(12);
    let settings = PlaceSettings::within(2.0);
    for seed in 0..5 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut over = 0;
        let mut sent = 0;
        let mut ends: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        let mut loads = [0_u32; 12];
        let mut known = vec![[0_u32; 12]; 9];
        let mut own_since = vec![[0_i32; 12]; 9];
        let mut held: Vec<TextTable> = (0..9).map(|_| TextTable::default()).collect();
        for ms in 0..60_000_u64 {
            for engine in ends.remove(&ms).unwrap_or_default() {
                loads[engine] -= 1;
            }
            let edge = (ms % 500) as usize;
            if edge < 9 {
                known[edge] = loads;
                own_since[edge] = [0; 12];
            }
            if !rng.random_bool(0.14) {
                continue;
            }
            let edge = rng.random_range(0..9);
            let draw: f64 = rng.random();
            let text = (draw * draw * 350.0) as u64;
            let holders: Vec<_> = held[edge].holders(text, at(ms)).collect();
            let candidates: Vec<_> = (0..12)
                .map(|key| {
                    let index = key as usize;
                    let moved = i64::from(known[edge][index]) + i64::from(own_since[edge][index]);
                    PlaceCandidate {
                        holds_text: holders.contains(&EndpointKey(key)),
                        ..candidate(key, &names[index], moved.max(0) as u32)
                    }
                })
                .collect();
            let chosen = choose_engine(&candidates, request(text), &settings).expect("an engine");
            let index = chosen.0 as usize;
            let mean = f64::from(loads.iter().sum::<u32>()) / 12.0;
            over += usize::from(f64::from(loads[index]) > mean * 2.0 + 3.0);
            sent += 1;
            loads[index] += 1;
            own_since[edge][index] += 1;
            for table in &mut held {
                table.note(text, chosen, at(ms));
            }
            let until = ms + rng.random_range(200..2200);
            ends.entry(until).or_default().push(index);
        }
        assert!(
            over * 100 < sent * 3,
            "seed {seed}: {over} of {sent} above the bound"
        );
    }
}

/// An engine answers and fails four times in ten. Requests go elsewhere; but where most engines
/// fail, the few others must not get everything.
#[test]
fn a_failing_endpoint_is_avoided_unless_most_fail() {
    let names = names(4);
    let failing = |count: u32| -> Vec<PlaceCandidate<'_>> {
        (0..4)
            .map(|key| PlaceCandidate {
                failing: if key < count { 0.5 } else { 0.05 },
                ..candidate(key, &names[key as usize], 2)
            })
            .collect()
    };
    let settings = PlaceSettings::default();
    let chosen = |count| -> BTreeSet<u32> {
        let candidates = failing(count);
        let all = (0..200).filter_map(|text| choose_engine(&candidates, request(text), &settings));
        all.map(|key| key.0).collect()
    };
    assert_eq!(chosen(1), BTreeSet::from([1, 2, 3]));
    assert_eq!(chosen(3), BTreeSet::from([0, 1, 2, 3]));
}

/// A plain service has a few places at each of a few replicas: the emptiest gets the request, a
/// near one if there are several.
#[test]
fn the_emptiest_replica_is_chosen_and_near_ones_first() {
    let near = PlaceCandidate {
        is_near: true,
        ..candidate(2, "c", 1)
    };
    let candidates = [candidate(0, "a", 1), candidate(1, "b", 3), near];
    for step in 0..10 {
        let request = PlaceRequest {
            shared_text: None,
            draw: f64::from(step) / 10.0,
        };
        assert_eq!(choose_replica(&candidates, request), Some(EndpointKey(2)));
    }
    let busy = PlaceCandidate { load: 2, ..near };
    let request = PlaceRequest {
        shared_text: None,
        draw: 0.5,
    };
    let candidates = [candidate(0, "a", 1), candidate(1, "b", 3), busy];
    assert_eq!(choose_replica(&candidates, request), Some(EndpointKey(0)));
    assert_eq!(choose_replica(&[], request), None);
}

#[test]
fn the_text_that_is_shared_is_the_last_but_one() {
    assert_eq!(shared_key(&[]), None);
    assert_eq!(shared_key(&[1]), None);
    assert_eq!(shared_key(&[1, 2, 3]), Some(2));
}

/// Places are told to the other edges only when they are new, or a site with many returning chats
/// would send a message with each request.
#[test]
fn a_known_place_is_no_news() {
    let mut table = TextTable::default();
    let engine = EndpointKey(1);
    assert!(table.note(7, engine, at(0)));
    assert!(!table.note(7, engine, at(1000)));
    assert!(table.note(7, EndpointKey(2), at(2000)));
    assert_eq!(table.holders(7, at(2000)).count(), 2);
    table.forget(engine);
    assert_eq!(
        table.holders(7, at(2000)).collect::<Vec<_>>(),
        [EndpointKey(2)]
    );
    assert!(table.note(7, engine, at(3000)), "it was forgotten");
    assert_eq!(table.holders(7, at(2_000_000)).count(), 0, "too long ago");
}
