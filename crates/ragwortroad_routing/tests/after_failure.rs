//! Retry budget, outlier ejection, placement, rollouts and migration of caches.

use std::time::Duration;

use ragwortroad_routing::prelude::*;
use ragwortroad_types::prelude::*;

/// Guards against retries that multiply the load of an outage: without a budget, each failing
/// request would be attempted three times.
#[test]
fn an_outage_is_not_multiplied() {
    let mut budget = RetryBudget::new(0.1, 20);
    let policy = RetryPolicy::default();
    let mut attempts = 0;
    for _ in 0..10_000 {
        budget.record_first_attempt();
        let mut failed = FailedAttempt {
            outcome: RequestOutcome::Unknown,
            idempotent: true,
            attempts: 1,
            time_left: Duration::from_secs(10),
        };
        while policy.may_retry(failed, &mut budget) {
            failed.attempts += 1;
        }
        attempts += failed.attempts;
    }
    assert!(attempts <= 11_020, "{attempts} attempts of 10000 requests");
}

/// Guards against bookings made twice: the response to a booking is lost, and a retry would book
/// the studio again.
#[test]
fn requests_that_may_have_run_are_retried_only_if_idempotent() {
    let mut budget = RetryBudget::new(0.1, 20);
    let policy = RetryPolicy::default();
    let unknown_outcome = FailedAttempt {
        outcome: RequestOutcome::Unknown,
        idempotent: false,
        attempts: 1,
        time_left: Duration::from_secs(10),
    };
    assert!(!policy.may_retry(unknown_outcome, &mut budget));
    let unsent = FailedAttempt {
        outcome: RequestOutcome::NotRun,
        ..unknown_outcome
    };
    assert!(policy.may_retry(unsent, &mut budget));
    let near_deadline = FailedAttempt {
        time_left: Duration::from_millis(10),
        ..unsent
    };
    assert!(!policy.may_retry(near_deadline, &mut budget));
}

/// Guards against a shared fault that ejects all engines and leaves none to serve, and against
/// engines that receive their full load as soon as they return.
#[test]
fn a_limited_share_is_ejected_and_returns_gradually() {
    let settings = OutlierSettings::default();
    let mut table = OutlierTable::new(settings);
    let engines: Vec<EndpointId> = (0..10).map(EndpointId).collect();
    let now = ClockTime(1_000);
    for _ in 0..20 {
        for engine in &engines {
            let out = engines
                .iter()
                .filter(|engine| table.is_ejected(**engine, now))
                .count();
            table.record_failure(*engine, out, engines.len(), now);
        }
    }
    let out = |now| {
        engines
            .iter()
            .filter(|engine| table.is_ejected(**engine, now))
            .count()
    };
    assert_eq!(out(now), 2, "a fifth of ten");
    let back = now.after(settings.first_ejection);
    assert_eq!(out(back), 0);
    let limits: Vec<u32> = [0, 5, 10, 20]
        .iter()
        .map(|second| table.ramped_limit(engines[0], 20, back.after(Duration::from_secs(*second))))
        .collect();
    assert_eq!(limits, [1, 5, 10, 20]);
    let mut table_after_failure = table.clone();
    table_after_failure.record_failure(engines[0], 0, engines.len(), back);
    assert!(
        table_after_failure.is_ejected(engines[0], back.after(settings.first_ejection)),
        "twice as long"
    );
}

fn engine_snapshot(engine: u64, offers: &[u64]) -> EngineSnapshot {
    EngineSnapshot {
        id: EndpointId(engine),
        zone: ZoneKey(engine % 3),
        capacity: 16,
        max_offers: 1,
        offers: offers.iter().copied().map(OfferKey).collect(),
        takes_work: true,
    }
}

fn demand_for(offer: u64, demand: f64) -> OfferDemand {
    OfferDemand {
        offer: OfferKey(offer),
        demand,
        min_engines: 1,
        max_engines: usize::MAX,
    }
}

/// Applies all orders of a plan at once.
fn apply(input: &mut PlacementInput, plan: &PlacementPlan) {
    for engine in &mut input.engines {
        let id = engine.id;
        let is_unloaded = |offer: &OfferKey| {
            let offer = *offer;
            plan.unloads.contains(&PlacementOrder { engine: id, offer })
        };
        engine.offers.retain(|offer| !is_unloaded(offer));
        let loads = plan.loads.iter().filter(|order| order.engine == id);
        engine.offers.extend(loads.map(|order| order.offer));
    }
}

#[test]
fn placement_follows_demand_at_a_limited_rate_and_then_settles() {
    let mut input = PlacementInput {
        demands: vec![demand_for(1, 40.0), demand_for(2, 10.0)],
        engines: (0..12)
            .map(|engine| engine_snapshot(engine, &[1]))
            .collect(),
        max_loads: 1,
    };
    let settings = PlacementSettings::default();
    let mut moves = 0;
    for _ in 0..20 {
        let plan = PlacementPlan::compute(&input, &settings);
        assert!(plan.loads.len() <= 1, "more loads than max_loads: {plan:?}");
        moves += plan.loads.len();
        apply(&mut input, &plan);
    }
    assert_eq!(moves, 1, "one engine of the second model carries 10 of 16");
    // Demand that varies between the two thresholds changes nothing; demand above them does.
    for demand in [9.0, 11.0, 8.0] {
        input.demands[1].demand = demand;
        assert_eq!(
            PlacementPlan::compute(&input, &settings),
            PlacementPlan::default()
        );
    }
    input.demands[1].demand = 30.0;
    for _ in 0..5 {
        let plan = PlacementPlan::compute(&input, &settings);
        apply(&mut input, &plan);
    }
    let holders = |offer| {
        let holds = |engine: &&EngineSnapshot| engine.offers.contains(&OfferKey(offer));
        input.engines.iter().filter(holds).count()
    };
    assert_eq!((holders(1), holders(2)), (9, 3));
    let zones: Vec<u64> = input
        .engines
        .iter()
        .filter(|engine| engine.offers.contains(&OfferKey(2)))
        .map(|engine| engine.zone.0)
        .collect();
    assert!(
        zones.contains(&0) && zones.contains(&1) && zones.contains(&2),
        "{zones:?}"
    );
}

/// Guards against chats that move back and forth between versions while weights change.
#[test]
fn a_rollout_moves_chats_one_way_and_a_rollback_is_one_change() {
    let plan = |old, new| {
        let versions = vec![VersionWeight::new("v1", old), VersionWeight::new("v2", new)];
        VersionPlan::new("tutor", versions)
    };
    let steps = [plan(90, 10), plan(50, 50), plan(0, 100)];
    let mut counts = [0; 3];
    for chat in 0..2_000 {
        let chat = Some(ChatKey(chat * 7_919));
        let versions: Vec<_> = steps
            .iter()
            .map(|step| step.version_for(chat, None, 0).unwrap())
            .collect();
        assert!(versions.is_sorted(), "{versions:?}");
        for (count, version) in counts.iter_mut().zip(&versions) {
            *count += u32::from(*version == "v2");
        }
        assert_eq!(steps[0].version_for(chat, Some("v2"), 0), Some("v2"));
        assert_eq!(plan(100, 0).version_for(chat, None, 0), Some("v1"));
    }
    assert!((120..280).contains(&counts[0]), "{counts:?}");
    assert!((900..1_100).contains(&counts[1]), "{counts:?}");
    assert_eq!(counts[2], 2_000);
}

#[test]
fn a_cache_is_transferred_where_that_is_faster() {
    let fast_link = MigrationCost {
        tokens: 8_000,
        bytes_per_token: 100_000,
        prefill_per_s: 5_000.0,
        link_bytes_per_s: 1.2e9,
        link_delay: Duration::from_micros(500),
        fixed_overhead: Duration::from_millis(50),
        link_cost_factor: 1.0,
    };
    assert_eq!(fast_link.cheaper_method(), MigrationMethod::Transfer);
    let short_context = MigrationCost {
        tokens: 100,
        ..fast_link
    };
    assert_eq!(short_context.cheaper_method(), MigrationMethod::Recompute);
    let slow_link = MigrationCost {
        link_bytes_per_s: 1.2e8,
        link_cost_factor: 3.0,
        ..fast_link
    };
    assert_eq!(slow_link.cheaper_method(), MigrationMethod::Recompute);
}

/// Guards against a rest that is cut short by a shorter one, or kept by the next process.
#[test]
fn a_rest_lasts_as_long_as_was_asked_and_ends_with_the_process() {
    let mut table = RestTable::default();
    let (engine, restarted) = (IncarnationKey::new("e", 1), IncarnationKey::new("e", 2));
    table.note_rest(engine, Duration::from_secs(3), ClockTime(0));
    table.note_rest(engine, Duration::from_secs(1), ClockTime(1000));
    let left = table.rest_left(engine, ClockTime(2500));
    assert_eq!(left, Some(Duration::from_millis(500)));
    assert_eq!(table.rest_left(restarted, ClockTime(2500)), None);
    assert_eq!(table.resting_count(ClockTime(2500)), 1);
    table.expire(ClockTime(3000));
    assert!(table.is_empty());
    table.note_rest(engine, Duration::from_secs(1_000_000), ClockTime(0));
    let left = table.rest_left(engine, ClockTime(0));
    assert!(
        left < Some(Duration::from_secs(3600)),
        "an absurd rest is kept"
    );
}
