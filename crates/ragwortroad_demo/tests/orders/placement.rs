use std::time::Duration;

use ragwortroad_demo::prelude::*;
use ragwortroad_types::prelude::*;

use crate::common::{
    change,
    holders,
    loads,
    lock_fleets,
    orders,
    quick_plan,
    start, //
};

/// Guards against declared models, adapters, rollouts and drains for which no orders are sent, and
/// against needless load orders.
#[test]
fn engines_converge_to_the_declared_configuration() {
    let _lock = lock_fleets();
    let fleet = start(quick_plan());
    change(&fleet, "add model tutor version v1 replicas 2..4 size 1gb");
    wait_until("the second model", || holders(&fleet, "tutor", "v1") == 2).unwrap();
    let caption = "caption-llm";
    assert_eq!(holders(&fleet, caption, "v1"), 6);
    let first = orders(&fleet);
    assert!(loads(&first, caption).is_empty());

    change(&fleet, "add adapter coats model tutor");
    let with_adapter = || {
        let engines = fleet.engines.iter().flatten();
        let offers = engines.flat_map(|engine| engine.offers());
        let coats = offers.filter(|offer| offer.adapters == ["coats"]);
        coats.filter(|offer| offer.model == "tutor").count()
    };
    wait_until("the adapter", || with_adapter() == 2).unwrap();

    change(&fleet, "roll model caption-llm to v2 34%");
    wait_until("the first rollout step", || {
        holders(&fleet, caption, "v2") == 3
    })
    .unwrap();
    assert_eq!(holders(&fleet, caption, "v1"), 6);
    change(&fleet, "rollback model caption-llm");
    wait_until("the rollback", || {
        holders(&fleet, caption, "v2") == 0 && holders(&fleet, caption, "v1") == 6
    })
    .unwrap();

    change(&fleet, "roll model caption-llm to v2 100%");
    wait_until("the complete rollout", || {
        holders(&fleet, caption, "v2") == 6 && holders(&fleet, caption, "v1") == 0
    })
    .unwrap();
    assert_eq!((with_adapter(), holders(&fleet, "tutor", "v1")), (2, 2));

    change(&fleet, "drain endpoint engine-0");
    let drained = || fleet.engines[0].as_ref().unwrap().is_drained();
    wait_until("the drain", drained).unwrap();
    change(&fleet, "undrain endpoint engine-0");
    wait_until("the end of the drain", || !drained()).unwrap();
    assert!(orders(&fleet).iter().all(|record| record.accepted));
    fleet.stop();
}

/// Guards against model loads that exceed the bandwidth of the weight store.
#[test]
fn loads_stay_within_the_rate_of_the_weight_store() {
    const RATE: u32 = 1000;
    const SIZE: u32 = 1000;
    let _lock = lock_fleets();
    let mut plan = quick_plan();
    plan.orders.store_mb_per_s = RATE;
    plan.orders.store_burst_mb = SIZE;
    let fleet = start(plan);
    change(
        &fleet,
        "add model tutor version v1 replicas 3..3 size 1000mb; \
         add model note version v1 replicas 3..3 size 1000mb",
    );
    wait_until("both models", || {
        holders(&fleet, "tutor", "v1") == 3 && holders(&fleet, "note", "v1") == 3
    })
    .unwrap();
    let orders = orders(&fleet);
    let mut received: Vec<_> = ["tutor", "note"]
        .iter()
        .flat_map(|model| loads(&orders, model))
        .map(|record| record.received_at)
        .collect();
    received.sort();
    assert_eq!(received.len(), 6);
    // Orders reach engines with varying delays, so the limit has a slack of one load.
    for (from, first) in received.iter().enumerate() {
        for (to, last) in received.iter().enumerate().skip(from + 1) {
            let requested = (to - from + 1) as u32 * SIZE;
            let limit =
                SIZE * 2 + (f64::from(RATE) * last.duration_since(*first).as_secs_f64()) as u32;
            assert!(
                requested <= limit,
                "{requested} MB requested, at most {limit} MB allowed"
            );
        }
    }
    fleet.stop();
}

/// Guards against orders that run twice or are undone because engines respond after the resend
/// interval.
#[test]
fn repeated_and_late_responses_change_nothing() {
    let _lock = lock_fleets();
    let mut plan = quick_plan();
    plan.orders.resend = Duration::from_millis(100);
    let fleet = start(plan);
    for engine in fleet.engines.iter().flatten() {
        engine.set_faults(ragwortroad_standin::FaultPlan {
            order_response_delay: Duration::from_millis(700),
            ..Default::default()
        });
    }
    change(&fleet, "add model tutor version v1 replicas 2..2 size 1gb");
    wait_until("the model", || holders(&fleet, "tutor", "v1") == 2).unwrap();
    change(&fleet, "remove model tutor");
    wait_until("the removal of the model", || {
        holders(&fleet, "tutor", "v1") == 0
    })
    .unwrap();
    // Once a further order is executed, all earlier orders have been answered.
    change(&fleet, "drain endpoint engine-0");
    let drained = || fleet.engines[0].as_ref().unwrap().is_drained();
    wait_until("the drain", drained).unwrap();
    let records = orders(&fleet);
    assert_eq!(loads(&records, "tutor").len(), 2);
    let is_unload = |kind: &OrderKind| matches!(kind, OrderKind::Unload { .. });
    let unloads = records.iter().map(|record| &record.order);
    let mut unloads: Vec<u64> = unloads
        .filter(|order| is_unload(&order.kind))
        .map(|order| order.number)
        .collect();
    unloads.dedup();
    unloads.sort_unstable();
    unloads.dedup();
    assert_eq!(unloads.len(), 2);
    assert_eq!(holders(&fleet, "tutor", "v1"), 0);
    assert_eq!(holders(&fleet, "caption-llm", "v1"), 6);
    fleet.stop();
}
