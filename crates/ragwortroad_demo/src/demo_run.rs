use std::{
    collections::BTreeMap,
    time::{
        Duration,
        Instant, //
    },
};

use ragwortroad_load::prelude::*;
use ragwortroad_standin::prelude::*;
use snafu::ResultExt;

use crate::{
    DemoError,
    DemoReport,
    FleetPlan,
    SmallFleet,
    demo_error::LoadSnafu, //
};

/// Settings of the demonstration.
#[derive(Clone, Debug)]
pub struct DemoSettings {
    /// The fleet to start.
    pub plan: FleetPlan,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Expected number of chats; the arrivals are random.
    pub chats: u32,
    /// Expected number of bookings, and of reads; the arrivals are random.
    pub bookings: u32,
    /// Period in which requests become due.
    pub duration: Duration,
}

impl Default for DemoSettings {
    fn default() -> Self {
        Self {
            plan: FleetPlan::default(),
            seed: 1,
            chats: 300,
            bookings: 60,
            duration: Duration::from_secs(8),
        }
    }
}

/// Starts a small fleet, sends chats, bookings and reads through it, and checks the results.
pub fn run_demo(settings: DemoSettings) -> Result<DemoReport, DemoError> {
    let fleet = SmallFleet::start(settings.plan)?;
    let result = send_load(&fleet, settings.seed, settings.duration, |load, seconds| {
        load.chats_per_second = f64::from(settings.chats) / seconds;
        load.bookings_per_second = f64::from(settings.bookings) / seconds;
        load.reads_per_second = f64::from(settings.bookings) / seconds;
    });
    fleet.stop();
    result
}

fn send_load(
    fleet: &SmallFleet,
    seed: u64,
    duration: Duration,
    adjust: impl FnOnce(&mut LoadSettings, f64),
) -> Result<DemoReport, DemoError> {
    fleet.declare()?;
    let mut settings = LoadSettings {
        seed,
        duration,
        ..fleet.load_settings()
    };
    adjust(&mut settings, duration.as_secs_f64().max(1.0));
    let before = sent_bytes(fleet);
    let start = Instant::now();
    let mut load = run_load(settings).context(LoadSnafu)?;
    let seconds = start.elapsed().as_secs_f64().max(0.001);
    let bytes = sent_bytes(fleet).saturating_sub(before) as f64;
    let records = fleet.records();
    load.verify(&records);
    let nodes = fleet.nodes.len();
    Ok(DemoReport {
        nodes,
        engines: fleet.engines.len(),
        services: fleet.services.len(),
        skew: skew(&records, fleet),
        control_bytes_per_second: bytes / seconds / nodes as f64,
        load,
    })
}

/// Total bytes that all nodes have sent to each other.
fn sent_bytes(fleet: &SmallFleet) -> u64 {
    let nodes = fleet.nodes.iter().flatten();
    nodes.map(|node| node.control_bytes().0).sum()
}

/// Chat requests on the busiest engine divided by the mean; 1 if there were none.
fn skew(records: &[RunRecord], fleet: &SmallFleet) -> f64 {
    let engines = fleet.engines.iter().flatten();
    let mut counts: BTreeMap<&str, u64> = engines.map(|engine| (engine.name(), 0)).collect();
    for record in records {
        if let Some(count) = counts.get_mut(record.endpoint.as_str()) {
            *count += 1;
        }
    }
    let total: u64 = counts.values().sum();
    let peak = counts.values().max().copied().unwrap_or(0);
    if total == 0 {
        return 1.0;
    }
    peak as f64 * counts.len() as f64 / total as f64
}
