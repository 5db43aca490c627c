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

/// Fleets run one at a time; more would take each other's processor time.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Changes made so far, which gives each one an id of its own.
static CHANGES: AtomicU32 = AtomicU32::new(0);

/// Holds other tests' fleets back.
pub(crate) fn lock_fleets() -> MutexGuard<'static, ()> {
    FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A fleet whose engines hold its model, which is declared.
pub(crate) fn start(plan: FleetPlan) -> SmallFleet {
    let fleet = SmallFleet::start(plan).unwrap();
    fleet.declare().unwrap();
    fleet
}

/// Three nodes and six engines that load quickly, without a plain service.
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

/// A change that is accepted and in force.
pub(crate) fn change(fleet: &SmallFleet, line: &str) {
    let id = format!("change-{}", CHANGES.fetch_add(1, Ordering::Relaxed));
    let answer = fleet.operator().change(line, &id).unwrap();
    assert_eq!(answer.status, 200, "{line}: {}", answer.text);
}

/// Engines that hold `model` in `version`.
pub(crate) fn holders(fleet: &SmallFleet, model: &str, version: &str) -> usize {
    let holds = |engine: &&StandinEngine| {
        let offers = engine.offers();
        let mut offers = offers.iter();
        offers.any(|offer| offer.model == model && offer.version == version)
    };
    fleet.engines.iter().flatten().filter(holds).count()
}

/// All orders that engines got, by the time at which they came.
pub(crate) fn orders(fleet: &SmallFleet) -> Vec<OrderRecord> {
    let engines = fleet.engines.iter().flatten();
    let mut orders: Vec<OrderRecord> = engines.flat_map(StandinEngine::orders).collect();
    orders.sort_by_key(|record| record.received_at);
    orders
}

/// Loads of `model` among `orders`, each order once however often it was sent.
pub(crate) fn loads<'a>(orders: &'a [OrderRecord], model: &str) -> Vec<&'a OrderRecord> {
    let mut seen = Vec::new();
    let is_load = |record: &&OrderRecord| match &record.order.kind {
        OrderKind::Load { offer } => offer.model == model,
        _ => false,
    };
    let loads = orders.iter().filter(is_load);
    loads
        .filter(|record| {
            let name = (record.order.fence, record.order.number);
            let is_new = !seen.contains(&name);
            seen.push(name);
            is_new
        })
        .collect()
}
