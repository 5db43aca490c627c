//! Compares the duration of a routing decision with that of plain rendezvous hashing over the same
//! endpoints:
//! `cargo run --release -p ragwortroad_bench --example decision_speed`.
//!
//! The durations depend on the machine, the ratios hardly do. No test depends on them.

use std::{
    hint::black_box,
    time::Instant, //
};

use ragwortroad_routing::prelude::*;
use ragwortroad_types::prelude::*;

const ITERATIONS: u64 = 200_000;

fn main() {
    println!("engines  plain hash ns  new chat ns  ratio  known chat ns  ratio");
    for engines in [12, 20, 750] {
        let baseline = mean_nanoseconds(|round| rendezvous_choice(engines, round));
        let mut table = route_table(engines);
        let new_chat = mean_nanoseconds(|round| decide(&mut table, round, false));
        let known_chat = mean_nanoseconds(|round| decide(&mut table, round, true));
        println!(
            "{engines:>7}  {baseline:>13.0}  {new_chat:>11.0}  {:>5.1}  {known_chat:>13.0}  {:>5.1}",
            new_chat / baseline,
            known_chat / baseline
        );
    }
}

/// Returns the mean duration of a call of `step`, after a warm-up of a tenth of the iterations.
fn mean_nanoseconds(mut step: impl FnMut(u64) -> u64) -> f64 {
    for round in 0..ITERATIONS / 10 {
        black_box(step(round));
    }
    let start = Instant::now();
    for round in 0..ITERATIONS {
        black_box(step(round));
    }
    start.elapsed().as_nanos() as f64 / ITERATIONS as f64
}

/// Selects an engine by rendezvous hashing alone.
fn rendezvous_choice(engines: u64, key: u64) -> u64 {
    let hash = |engine: u64| {
        let mixed =
            (engine.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ key).wrapping_mul(0xd6e8_feb8_6659_fd93);
        mixed ^ (mixed >> 32)
    };
    (0..engines).max_by_key(|engine| hash(*engine)).unwrap_or(0)
}

/// Returns the route table of a node that is the home of every tenth engine; all engines serve one
/// model.
fn route_table(engines: u64) -> RouteTable {
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
        let is_ejected = false;
        table.observe_digest(
            id,
            LoadDigest {
                load,
                ejected: is_ejected,
            },
        );
    }
    table
}

/// Makes one routing decision and releases a granted slot at once.
fn decide(table: &mut RouteTable, round: u64, known_chat: bool) -> u64 {
    let now = ClockTime(round / 100);
    let key = round.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let prefixes: Vec<PrefixKey> = (0..12).map(|block| PrefixKey(key % 64 + block)).collect();
    let hint = known_chat.then(|| EndpointId::from_name("engine-0"));
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
