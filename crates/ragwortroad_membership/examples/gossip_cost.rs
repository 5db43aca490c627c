//! Measures what the membership protocol costs each node, by fleet size and workload.
//!
//! ```text
//! cargo run --release -p ragwortroad_membership --example gossip_cost -- \
//!     [--seed N] [--nodes N] [--long]
//! ```
//!
//! Bytes are those that a node sends on the wire: the content of packets, 140 bytes for each packet
//! (QUIC, UDP, IP and the acknowledgement, as measured by the transport's `message_cost`), and 2,337
//! bytes for each connection opened. Everything except the `core` and `KiB` values is determined by
//! the seed.

#[path = "../tests/fake_fleet/mod.rs"]
mod fake_fleet;

use fake_fleet::FakeFleet;
use ragwortroad_membership::prelude::*;
use rand::RngExt;

/// Bytes that a QUIC handshake adds on each side of a connection.
const HANDSHAKE_BYTES: u64 = 2337;
/// Duration of each measured phase.
const SPAN_MS: u64 = 300_000;
/// Node restarts per day in a fleet of 340 nodes.
const RESTARTS_PER_DAY: u64 = 260;

/// The workload during one measurement.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FleetPhase {
    /// No restarts and no load changes.
    Quiet,
    /// Every second, each endpoint's load changes with a probability of one half.
    Load,
    /// Load changes as in `Load`. In addition, nodes restart at ten times the usual rate, and an
    /// endpoint restarts every ten seconds.
    Churn,
}

/// Cumulative traffic and processing time of all nodes at one point in time.
struct CostReading {
    bytes: Vec<u64>,
    packets: u64,
    table_time: std::time::Duration,
    parts: [u64; 4],
}

impl CostReading {
    fn new(fleet: &FakeFleet) -> Self {
        let overhead = u64::from(fleet.settings.packet_overhead_bytes);
        let wire_bytes = fleet.nodes.iter().map(|node| {
            node.bytes_out + node.packets_out * overhead + node.connections_opened * HANDSHAKE_BYTES
        });
        let mut parts = [0; 4];
        for stats in fleet.tables().map(MembershipTable::stats) {
            let found = [
                stats.node_bytes,
                stats.endpoint_bytes,
                stats.load_bytes,
                stats.direct_bytes,
            ];
            for (sum, bytes) in parts.iter_mut().zip(found) {
                *sum += bytes;
            }
        }
        Self {
            bytes: wire_bytes.collect(),
            packets: fleet.nodes.iter().map(|node| node.packets_out).sum(),
            table_time: fleet.table_time,
            parts,
        }
    }
}

fn churn(fleet: &mut FakeFleet, span: u64) {
    let nodes = fleet.nodes.len();
    let restarts = (10 * RESTARTS_PER_DAY * span * nodes as u64).div_ceil(340 * 86_400_000);
    let steps = span / 10_000;
    for step in 0..steps {
        let endpoint = fleet.rng.random_range(0..fleet.endpoints.len());
        fleet.start_endpoint(endpoint);
        if step * restarts / steps != (step + 1) * restarts / steps {
            let node = fleet.rng.random_range(0..nodes);
            fleet.start_node(node);
        }
        fleet.run(10_000);
    }
}

fn measure(fleet: &mut FakeFleet, phase: FleetPhase) {
    let chance = if phase == FleetPhase::Quiet { 0.0 } else { 0.5 };
    for endpoint in &mut fleet.endpoints {
        endpoint.load_change = chance;
    }
    fleet.run(30_000);
    let before = CostReading::new(fleet);
    match phase {
        FleetPhase::Churn => churn(fleet, SPAN_MS),
        FleetPhase::Quiet | FleetPhase::Load => fleet.run(SPAN_MS),
    }
    let after = CostReading::new(fleet);
    let nodes = fleet.nodes.len() as u64;
    let seconds = SPAN_MS / 1000;
    let spent: Vec<u64> = after
        .bytes
        .iter()
        .zip(&before.bytes)
        .map(|(to, from)| to - from)
        .collect();
    let mean_rate = spent.iter().sum::<u64>() / nodes / seconds;
    let max_rate = spent.iter().max().copied().unwrap_or(0) / seconds;
    let packets = (after.packets - before.packets) as f64 / (nodes * seconds) as f64;
    let parts: Vec<String> = after
        .parts
        .iter()
        .zip(before.parts)
        .map(|(to, from)| (to.saturating_sub(from) / nodes / seconds).to_string())
        .collect();
    let table_time =
        (after.table_time - before.table_time).as_secs_f64() / (nodes * seconds) as f64;
    let phase = format!("{phase:?}").to_lowercase();
    let endpoints = fleet.endpoints.len();
    let per_endpoint = mean_rate as f64 / endpoints as f64;
    println!(
        "{nodes:>5} {endpoints:>5} {phase:>6} {mean_rate:>7} {max_rate:>7} {packets:>7.1} {per_endpoint:>8.1}   {:<22} {:>8.4}%",
        parts.join("/"),
        table_time * 100.0
    );
}

/// Resident memory of this process in KiB.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Cuts one region off from the others for `span` milliseconds, and reports the cost of reconciling
/// the views afterwards.
fn partition_regions(fleet: &mut FakeFleet, span: u64) {
    fleet.network.partitioned_regions.insert(0);
    fleet.run(span);
    let before = CostReading::new(fleet);
    let downs = fleet.findings.node_downs;
    fleet.network.partitioned_regions.clear();
    let start = fleet.now;
    let mut peak = 0;
    let mut last = before.bytes.clone();
    while fleet.disagreement().is_some() && fleet.now - start < 600_000 {
        fleet.run(1000);
        let now = CostReading::new(fleet).bytes;
        let second = now.iter().zip(&last).map(|(to, from)| to - from).max();
        peak = peak.max(second.unwrap_or(0));
        last = now;
    }
    let spent: u64 = last
        .iter()
        .zip(&before.bytes)
        .map(|(to, from)| to - from)
        .sum();
    println!(
        "partitioned for {} s: equal views after {} ms, {} bytes per node in that time, at most {peak} by one node in a second, {} nodes marked down after the partition healed",
        span / 1000,
        fleet.now - start,
        spent / fleet.nodes.len() as u64,
        fleet.findings.node_downs - downs
    );
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let number = |flag: &str| -> Option<u64> {
        let at = args.iter().position(|arg| arg == flag)?;
        args.get(at + 1)?.parse().ok()
    };
    let seed = number("--seed").unwrap_or(1);
    let only = number("--nodes");
    let long = args.iter().any(|arg| arg == "--long");
    println!(
        "bytes and packets are per node and second; content is nodes/endpoints/loads/requests and sync"
    );
    println!(
        "nodes  ends  phase   bytes     max packets  per end   content                    core"
    );
    let all = [(9, 23, 3), (40, 90, 6), (120, 265, 9), (340, 750, 11)];
    for (nodes, endpoints, zones) in all {
        if only.is_some_and(|only| only != nodes as u64) {
            continue;
        }
        let baseline_kib = resident_kib();
        let mut fleet = FakeFleet::new(
            seed,
            nodes,
            endpoints,
            zones,
            &MembershipSettings::default(),
        );
        fleet.verify_homes = false;
        let joined_ms = fleet.run_until_converged(600_000);
        for phase in [FleetPhase::Quiet, FleetPhase::Load, FleetPhase::Churn] {
            measure(&mut fleet, phase);
        }
        let kib = resident_kib().saturating_sub(baseline_kib) / nodes as u64;
        println!(
            "{nodes:>5} nodes started at once converged after {joined_ms} ms; {kib} KiB per node"
        );
        fleet.run_until_converged(600_000);
        partition_regions(&mut fleet, if long { 3_600_000 } else { 120_000 });
    }
}
