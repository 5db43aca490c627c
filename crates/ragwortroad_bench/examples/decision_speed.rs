//! Measures one decision beside a plain hash choice over the same endpoints:
//! `cargo run --release -p ragwortroad_bench --example decision_speed`.
//!
//! The figures depend on the machine; the ratio hardly does. No test decides by them.

use std::{
    hint::black_box,
    time::Instant, //
};

use ragwortroad_routing::prelude::*;
use ragwortroad_types::prelude::*;

const ROUNDS: u64 = 200_000;

fn main() {
    println!("engines  plain hash ns  new chat ns  ratio  known chat ns  ratio");
    for engines in [12, 20, 750] {
        let plain = nanoseconds(|round| plain_choice(engines, round));
        let mut table = table_of(engines);
        let fresh = nanoseconds(|round| decide(&mut table, round, false));
        let known = nanoseconds(|round| decide(&mut table, round, true));
        println!(
            "{engines:>7}  {plain:>13.0}  {fresh:>11.0}  {:>5.1}  {known:>13.0}  {:>5.1}",
            fresh / plain,
            known / plain
        );
    }
}

/// The time of one call of `step`, on average.
fn nanoseconds(mut step: impl FnMut(u64) -> u64) -> f64 {
    for round in 0..ROUNDS / 10 {
        black_box(step(round));
    }
    let start = Instant::now();
    for round in 0..ROUNDS {
        black_box(step(round));
    }
    start.elapsed().as_nanos() as f64 / ROUNDS as f64
}

/// Rendezvous hashing and nothing else.
fn plain_choice(engines: u64, key: u64) -> u64 {
    let hash = |engine: u64| {
        let mixed =
            (engine.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ key).wrapping_mul(0xd6e8_feb8_6659_fd93);
        mixed ^ (mixed >> 32)
    };
    (0..engines).max_by_key(|engine| hash(*engine)).unwrap_or(0)
}

/// A node that is home of every tenth engine, all of them serving one model.
fn table_of(engines: u64) -> RouteTable {
    let node = NodeId(1);
    let mut table = RouteTable::new(RouteSettings {
        node,
        ..RouteSettings::default()
    });
    for engine in 0..engines {
        let facts = EndpointFacts {
            id: EndpointId::from_name(&format!("engine-{engine}")),
            kind: EndpointKind::Engine,
            fleet: FleetKey(1),
            zone: ZoneKey(engine % 3),
            capacity: 64,
            offers: vec![OfferKey(1)],
            home: NodeId(1 + engine % 10),
            leaving: false,
            drained: false,
        };
        let (id, load) = (facts.id, 30 + (engine % 5) as u32);
        table.upsert_endpoint(facts, ClockTime::ZERO);
        let set_aside = false;
        table.observe_digest(
            id,
            LoadDigest {
                load,
                ejected: set_aside,
            },
        );
    }
    table
}

/// One decision; a slot that was granted is given back at once.
fn decide(table: &mut RouteTable, round: u64, known: bool) -> u64 {
    let now = ClockTime(round / 100);
    let key = round.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let prefixes: Vec<PrefixKey> = (0..12).map(|block| PrefixKey(key % 64 + block)).collect();
    let hint = known.then(|| EndpointId::from_name("engine-0"));
    let query = RouteQuery {
        offer: OfferKey(1),
        customer: CustomerKey(round % 10),
        chat: Some(ChatKey(key)),
        prefixes: &prefixes,
        hint,
        ..RouteQuery::default()
    };
    match table.choose(&query, now) {
        RouteDecision::Admit { endpoint, slot, .. } => {
            table.release(endpoint, slot, SlotOutcome::Succeeded, now);
            endpoint.0
        }
        RouteDecision::AskHome { endpoint, .. } => endpoint.0,
        RouteDecision::Hold { .. } | RouteDecision::Refuse { .. } => 0,
    }
}
