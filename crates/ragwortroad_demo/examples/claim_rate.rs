//! Measures bookings per second through the whole request path, and the cost of their claims.
//!
//! `cargo run --release -p ragwortroad_demo --example claim_rate`
//!
//! The fleet has three nodes, with data folders in the temporary directory. 1, 16 and 256
//! concurrent clients send bookings with unique idempotency keys for 6 seconds each. The service
//! responds without delay.

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use ragwortroad_demo::prelude::*;
use ragwortroad_standin::prelude::*;

/// Numbers of concurrent clients, one run each.
const CLIENT_COUNTS: [usize; 3] = [1, 16, 256];

/// Duration of each run.
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
    // Endpoints are distributed over the nodes once these have been up for some time.
    thread::sleep(Duration::from_secs(12));
    println!("callers  bookings/s   p50 ms   p99 ms  other answers  control B/s of all nodes");
    for clients in CLIENT_COUNTS {
        measure(&fleet, clients);
    }
    fleet.stop();
    Ok(())
}

/// Runs `clients` concurrent clients and prints one line of results.
fn measure(fleet: &SmallFleet, clients: usize) {
    let sent_bytes = || -> u64 {
        let nodes = fleet.nodes.iter().flatten();
        nodes.map(|node| node.control_bytes().0).sum()
    };
    let before = sent_bytes();
    let start = Instant::now();
    let latencies = thread::scope(|scope| {
        let spawn_client = |number| scope.spawn(move || send_bookings(fleet, clients, number));
        let threads: Vec<_> = (0..clients).map(spawn_client).collect();
        let joined = threads.into_iter().filter_map(|thread| thread.join().ok());
        joined.collect::<Vec<_>>()
    });
    let seconds = start.elapsed().as_secs_f64();
    let bytes = sent_bytes().saturating_sub(before) as f64 / seconds;
    let failures: usize = latencies.iter().map(|(_, failures)| failures).sum();
    let mut latencies: Vec<Duration> = latencies
        .into_iter()
        .flat_map(|(latencies, _)| latencies)
        .collect();
    latencies.sort_unstable();
    let latency_ms = |quantile: f64| {
        let index = (latencies.len() as f64 * quantile) as usize;
        let latency = latencies.get(index.min(latencies.len().saturating_sub(1)));
        latency.map_or(0.0, |latency| latency.as_secs_f64() * 1000.0)
    };
    let rate = latencies.len() as f64 / seconds;
    let (median, p99) = (latency_ms(0.5), latency_ms(0.99));
    println!(
        "{clients:>7}  {rate:>10.0}  {median:>7.1}  {p99:>7.1}  {failures:>13}  {bytes:>12.0}"
    );
}

/// Sends one client's bookings; returns the latency of each success and the number of responses
/// other than 200.
fn send_bookings(fleet: &SmallFleet, clients: usize, number: usize) -> (Vec<Duration>, usize) {
    let addresses = fleet.client_addresses();
    let address = &addresses[number % addresses.len()];
    let customer = &fleet.plan.customers[number % fleet.plan.customers.len()];
    let service = &fleet.plan.service;
    let url = format!("http://{address}/v1/services/{service}/bookings");
    let start = Instant::now();
    let (mut latencies, mut failures) = (Vec::new(), 0);
    let mut booking = 0_u32;
    while start.elapsed() < RUN_TIME {
        booking += 1;
        let sent_at = Instant::now();
        let response = minreq::post(&url)
            .with_header(
                "Authorization",
                format!("Bearer {}", FleetPlan::key_of(customer)),
            )
            .with_header("Idempotency-Key", format!("{clients}-{number}-{booking}"))
            .with_body("{\"slot\":\"10:00\"}")
            .with_follow_redirects(false)
            .with_timeout(30)
            .send();
        match response {
            Ok(response) if response.status_code == 200 => latencies.push(sent_at.elapsed()),
            _ => failures += 1,
        }
    }
    (latencies, failures)
}
