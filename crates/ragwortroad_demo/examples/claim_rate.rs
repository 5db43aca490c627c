//! Bookings a second through the whole path, and what their claims cost.
//!
//! `cargo run --release -p ragwortroad_demo --example claim_rate`
//!
//! Three nodes with data folders on the disk of the temporary folder; 1, 16 and 256 callers send
//! bookings with keys of their own for a few seconds each. The service answers at once.

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use ragwortroad_demo::prelude::*;
use ragwortroad_standin::prelude::*;

/// Callers at once, one run each.
const CALLERS: [usize; 3] = [1, 16, 256];

/// How long each run lasts.
const RUN_TIME: Duration = Duration::from_secs(6);

fn main() -> Result<(), DemoError> {
    let plan = FleetPlan {
        engines: 0,
        services: 3,
        customer_rate_limit: 100_000,
        replica: ServiceSettings {
            capacity: 2048,
            work_time: Duration::ZERO,
            threads: 2,
            ..ServiceSettings::default()
        },
        ..FleetPlan::default()
    };
    let fleet = SmallFleet::start(plan)?;
    fleet.declare()?;
    // Endpoints are spread over the nodes once these have settled.
    thread::sleep(Duration::from_secs(12));
    println!("callers  bookings/s   p50 ms   p99 ms  other answers  control B/s of all nodes");
    for callers in CALLERS {
        measure(&fleet, callers);
    }
    fleet.stop();
    Ok(())
}

/// Runs `callers` callers and prints one line.
fn measure(fleet: &SmallFleet, callers: usize) {
    let sent = || -> u64 {
        let nodes = fleet.nodes.iter().flatten();
        nodes.map(|node| node.control_bytes().0).sum()
    };
    let before = sent();
    let start = Instant::now();
    let spans = thread::scope(|scope| {
        let call = |number| scope.spawn(move || book_for(fleet, callers, number));
        let calls: Vec<_> = (0..callers).map(call).collect();
        let joined = calls.into_iter().filter_map(|call| call.join().ok());
        joined.collect::<Vec<_>>()
    });
    let seconds = start.elapsed().as_secs_f64();
    let bytes = sent().saturating_sub(before) as f64 / seconds;
    let others: usize = spans.iter().map(|(_, others)| others).sum();
    let mut spans: Vec<Duration> = spans.into_iter().flat_map(|(spans, _)| spans).collect();
    spans.sort_unstable();
    let at = |share: f64| {
        let place = (spans.len() as f64 * share) as usize;
        let span = spans.get(place.min(spans.len().saturating_sub(1)));
        span.map_or(0.0, |span| span.as_secs_f64() * 1000.0)
    };
    let rate = spans.len() as f64 / seconds;
    let (half, most) = (at(0.5), at(0.99));
    println!("{callers:>7}  {rate:>10.0}  {half:>7.1}  {most:>7.1}  {others:>13}  {bytes:>12.0}");
}

/// One caller's bookings: how long each took, and how many got another answer than 200.
fn book_for(fleet: &SmallFleet, callers: usize, number: usize) -> (Vec<Duration>, usize) {
    let addresses = fleet.client_addresses();
    let address = &addresses[number % addresses.len()];
    let customer = &fleet.plan.customers[number % fleet.plan.customers.len()];
    let service = &fleet.plan.service;
    let url = format!("http://{address}/v1/services/{service}/bookings");
    let start = Instant::now();
    let (mut spans, mut others) = (Vec::new(), 0);
    let mut booking = 0_u32;
    while start.elapsed() < RUN_TIME {
        booking += 1;
        let began = Instant::now();
        let answer = minreq::post(&url)
            .with_header(
                "Authorization",
                format!("Bearer {}", FleetPlan::key_of(customer)),
            )
            .with_header("Idempotency-Key", format!("{callers}-{number}-{booking}"))
            .with_body("{\"slot\":\"10:00\"}")
            .with_follow_redirects(false)
            .with_timeout(30)
            .send();
        match answer {
            Ok(answer) if answer.status_code == 200 => spans.push(began.elapsed()),
            _ => others += 1,
        }
    }
    (spans, others)
}
