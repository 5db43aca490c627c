use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicU32,
            Ordering, //
        },
    },
    time::Duration, //
};

use ragwortroad_demo::prelude::*;
use ragwortroad_standin::prelude::*;
use ragwortroad_types::prelude::*;

/// Held while a fleet runs: concurrent fleets would slow each other down.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Number of changes so far, which makes change ids unique.
static CHANGES: AtomicU32 = AtomicU32::new(0);

/// Waits until no other test runs a fleet, and keeps others waiting until the guard is dropped.
pub(crate) fn lock_fleets() -> MutexGuard<'static, ()> {
    FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a fleet, declares its configuration and waits for its endpoints.
pub(crate) fn start(plan: FleetPlan) -> SmallFleet {
    let fleet = SmallFleet::start(plan).unwrap();
    fleet.declare().unwrap();
    fleet
}

/// Three nodes and six engines with short load times, without a plain service.
pub(crate) fn quick_plan() -> FleetPlan {
    FleetPlan {
        services: 0,
        engine: EngineSettings {
            model_load_time: Duration::from_millis(50),
            ..EngineSettings::default()
        },
        ..FleetPlan::default()
    }
}

/// Makes a change and asserts that it is in force.
pub(crate) fn change(fleet: &SmallFleet, line: &str) {
    let id = format!("change-{}", CHANGES.fetch_add(1, Ordering::Relaxed));
    let response = fleet.operator().change(line, &id).unwrap();
    assert_eq!(response.status, 200, "{line}: {}", response.text);
}

/// Returns the number of engines that serve `model` in `version`.
pub(crate) fn holders(fleet: &SmallFleet, model: &str, version: &str) -> usize {
    let serves = |engine: &&StandinEngine| {
        let offers = engine.offers();
        let mut offers = offers.iter();
        offers.any(|offer| offer.model == model && offer.version == version)
    };
    fleet.engines.iter().flatten().filter(serves).count()
}

/// Returns all orders that engines received, by time of receipt.
pub(crate) fn orders(fleet: &SmallFleet) -> Vec<OrderRecord> {
    let engines = fleet.engines.iter().flatten();
    let mut orders: Vec<OrderRecord> = engines.flat_map(StandinEngine::orders).collect();
    orders.sort_by_key(|record| record.received_at);
    orders
}

/// Returns the load orders for `model` among `orders`, without repeats of an order.
pub(crate) fn loads<'a>(orders: &'a [OrderRecord], model: &str) -> Vec<&'a OrderRecord> {
    let mut seen = Vec::new();
    let is_load = |record: &&OrderRecord| match &record.order.kind {
        OrderKind::Load { offer } => offer.model == model,
        _ => false,
    };
    let loads = orders.iter().filter(is_load);
    loads
        .filter(|record| {
            let order_id = (record.order.fence, record.order.number);
            let is_new = !seen.contains(&order_id);
            seen.push(order_id);
            is_new
        })
        .collect()
}
