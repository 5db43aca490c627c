//! Orders to engines: a paused leader, engines that ignore fencing tokens, repeated and delayed
//! responses, and the rate limit of the weight store.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use common::SeededRng;
use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

const DRIFT_PPM: u64 = 200_000;
const FLIGHT_MS: u64 = 2000;
const LEASE_MS: u64 = 1500;

/// A fault injected into the gate, which the check must detect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum GateFault {
    None,
    NoWait,
    /// The wait does not include the delivery delay of an order.
    IgnoresFlight,
    IgnoresDrift,
    /// The holder checks its lease before a pause and not again.
    ChecksEarly,
}

/// A lease holder whose clock drifts and whose process may be paused.
struct SimulatedHolder {
    rate: u64,
    gate: OrderGate,
    lead_until: ClockTime,
    paused_until: u64,
}

impl SimulatedHolder {
    fn read(&self, real_ms: u64) -> ClockTime {
        ClockTime(real_ms * self.rate / 1_000_000)
    }
}

/// Simulates orders to two engines, one that checks fencing tokens and one that does not. Returns
/// how many took effect and whether an old order followed a newer holder's.
fn run_simulation(seed: u64, fault: GateFault) -> (u64, bool) {
    let mut rng = SeededRng::new(seed);
    let timing = OrderTiming {
        lease: Duration::from_millis(LEASE_MS),
        drift_ppm: if fault == GateFault::IgnoresDrift {
            0
        } else {
            DRIFT_PPM as u32
        },
        max_delivery_delay: Duration::from_millis(match fault {
            GateFault::IgnoresFlight => 0,
            _ => FLIGHT_MS,
        }),
    };
    let mut lease = LeaseHarness::default();
    let mut holders: Vec<SimulatedHolder> = Vec::new();
    let mut in_transit: Vec<(u64, FencingToken, bool)> = Vec::new();
    let mut highest = [FencingToken(0); 2];
    let (mut real_ms, mut effects, mut is_violated) = (0, 0, false);
    for _ in 0..3000 {
        real_ms += rng.below(60);
        if holders.is_empty() || rng.below(250) == 0 {
            let rate = 1_000_000 - DRIFT_PPM + boundary_value(&mut rng, 2 * DRIFT_PPM);
            let now = ClockTime(real_ms * rate / 1_000_000);
            let applied_at = match fault {
                GateFault::NoWait => ClockTime(0),
                _ => now,
            };
            let gate = OrderGate::new(timing, lease.grant(), applied_at);
            let lead_until = now.after(Duration::from_millis(LEASE_MS));
            holders.push(SimulatedHolder {
                rate,
                gate,
                lead_until,
                paused_until: 0,
            });
        }
        let newest = holders.len() - 1;
        for (place, holder) in holders.iter_mut().enumerate().rev().take(3) {
            if real_ms < holder.paused_until {
                continue;
            }
            let now = holder.read(real_ms);
            // Only the current holder can renew its leader lease.
            if place == newest && rng.chance(60) {
                holder.lead_until = now.after(Duration::from_millis(LEASE_MS));
            }
            if rng.below(300) == 0 {
                holder.paused_until = real_ms + rng.below(20_000);
                if fault != GateFault::ChecksEarly {
                    continue;
                }
            }
            let checks = rng.chance(50);
            if let Ok(fence) = holder.gate.may_order(now, holder.lead_until, checks) {
                let sent_at = real_ms.max(holder.paused_until);
                in_transit.push((sent_at + boundary_value(&mut rng, FLIGHT_MS), fence, checks));
            }
        }
        in_transit.retain(|(at, fence, checks)| {
            if *at > real_ms {
                return true;
            }
            let seen = &mut highest[usize::from(*checks)];
            let old = *fence < *seen;
            // An engine that checks fencing tokens refuses the old one itself.
            is_violated |= old && !*checks;
            effects += u64::from(!(old && *checks));
            *seen = (*seen).max(*fence);
            false
        });
    }
    (effects, is_violated)
}

/// Returns a number up to `most`, often one of the bounds, where errors are most likely.
fn boundary_value(rng: &mut SeededRng, most: u64) -> u64 {
    match rng.below(3) {
        0 => 0,
        1 => most,
        _ => rng.below(most + 1),
    }
}

/// Grants fencing tokens through the replicated state.
#[derive(Default)]
struct LeaseHarness(FleetState);

impl LeaseHarness {
    fn grant(&mut self) -> FencingToken {
        let action = StateAction::TakeOrders { holder: NodeId(1) };
        let index = self.0.applied() + 1;
        match self
            .0
            .apply(index, &common::command(0, action).to_bytes())
            .unwrap()
        {
            ApplyOutcome::OrdersTaken { fence, .. } => fence,
            other => panic!("{other:?}"),
        }
    }
}

/// An order of a deposed leader could take effect after those of the new one, at an engine that
/// ignores fencing tokens, when a leader is paused between check and send or clocks drift.
#[test]
fn old_orders_never_follow_new_ones_at_an_unfenced_engine() {
    let mut effects = 0;
    for seed in 0..300 {
        let (count, is_violated) = run_simulation(seed, GateFault::None);
        assert!(!is_violated, "seed {seed}");
        effects += count;
    }
    println!("{effects} orders took effect in 300 schedules of 3000 steps");
    assert!(effects > 100_000);
}

/// The check must detect each injected fault of the gate; otherwise a passing run proves nothing.
#[test]
fn check_detects_each_fault() {
    for fault in [
        GateFault::NoWait,
        GateFault::IgnoresFlight,
        GateFault::IgnoresDrift,
        GateFault::ChecksEarly,
    ] {
        let detected = (0..100)
            .filter(|seed| run_simulation(*seed, fault).1)
            .count();
        println!("{fault:?}: detected in {detected} of 100 schedules");
        assert!(
            detected >= 10,
            "{fault:?}: detected in {detected} of 100 schedules"
        );
    }
}

/// A wait that is shorter than lease, drift and delivery delay require would let old orders follow
/// new ones. With perfect clocks it is the sum of lease and delivery delay.
#[test]
fn new_holder_wait_satisfies_its_inequality() {
    let perfect = OrderTiming {
        drift_ppm: 0,
        ..OrderTiming::default()
    };
    assert_eq!(
        perfect.new_holder_wait(),
        perfect.lease + perfect.max_delivery_delay
    );
    for drift_ppm in [1, 1000, 100_000] {
        let timing = OrderTiming {
            drift_ppm,
            ..perfect
        };
        let drift = f64::from(drift_ppm) / 1e6;
        let lease = timing.lease.as_secs_f64() / (1.0 - drift);
        let least = (1.0 + drift) * (lease + timing.max_delivery_delay.as_secs_f64());
        let wait = timing.new_holder_wait().as_secs_f64();
        assert!(
            wait >= least - 1e-9 && wait < least + 0.002,
            "{wait} {least}"
        );
    }
}

fn offer(model: &str, version: &str) -> ModelOffer {
    ModelOffer {
        model: model.to_owned(),
        version: version.to_owned(),
        adapters: Vec::new(),
    }
}

fn target(model: &str, version: &str) -> EngineTarget {
    EngineTarget {
        models: [offer(model, version)].into(),
        ..EngineTarget::default()
    }
}

/// Orders could stay pending forever, or engines miss their targets, when orders and responses are
/// lost or repeated and engines restart.
#[test]
fn orders_converge_despite_lost_and_repeated_messages() {
    let mut sent = 0;
    for seed in 0..60 {
        let mut rng = SeededRng::new(seed);
        let rate = LoadRate {
            mb_per_s: 100,
            burst_mb: 1000,
            max_concurrent: 2,
        };
        let settings = OrderSettings {
            rate,
            ..OrderSettings::default()
        };
        let mut table = OrderTable::new(settings, FencingToken(3), ClockTime(0));
        let mut engines: BTreeMap<String, (EngineObservation, EngineRole)> = BTreeMap::new();
        let mut delayed: Vec<EngineOrder> = Vec::new();
        for number in 0..5 {
            let name = format!("engine-{number}");
            let mut target = target("captions", &format!("v{}", number % 2));
            target.role = if number == 3 {
                EngineRole::Prefill
            } else {
                EngineRole::Both
            };
            table.set_target(&name, target, number);
            let models = [offer("captions", "v0")].into();
            let observation = EngineObservation {
                incarnation: 1,
                models,
            };
            engines.insert(name, (observation, EngineRole::Both));
        }
        let mut now = 0;
        for round in 0..400 {
            now += 1000;
            let is_fault_free = round > 200;
            for (name, (observation, role)) in &mut engines {
                if !is_fault_free && rng.chance(2) {
                    observation.incarnation += 1;
                    observation.models.clear();
                    *role = EngineRole::Both;
                }
                table.observe(name, observation.clone());
            }
            let mut orders = table.due_orders(ClockTime(now), |_| true, |_| 500);
            sent += orders.len();
            if rng.chance(30) {
                orders.extend(rng.take_random(&mut delayed));
            }
            for order in orders {
                if !is_fault_free && rng.chance(30) {
                    continue;
                }
                let (observation, role) = engines.get_mut(&order.engine).unwrap();
                apply_order(&order.action, observation, role);
                if is_fault_free || rng.chance(70) {
                    table.acknowledge(order.id);
                }
                if !is_fault_free {
                    delayed.push(order);
                }
            }
            if is_fault_free {
                delayed.clear();
            }
        }
        for (number, (observation, role)) in engines.values().enumerate() {
            assert_eq!(
                observation.models,
                [offer("captions", &format!("v{}", number % 2))].into()
            );
            assert_eq!(*role == EngineRole::Prefill, number == 3, "seed {seed}");
        }
        assert_eq!(
            table.due_orders(ClockTime(now + 60_000), |_| true, |_| 500),
            []
        );
        assert_eq!(table.pending().count(), 0);
        assert!(!table.acknowledge(OrderId {
            fence: FencingToken(2),
            number: 1
        }));
    }
    println!("{sent} orders sent in 60 schedules of 400 rounds");
}

fn apply_order(action: &OrderAction, observation: &mut EngineObservation, role: &mut EngineRole) {
    match action {
        OrderAction::Load { model, version, .. } => {
            observation.models.insert(offer(model, version));
        }
        OrderAction::Unload { model, version, .. } => {
            observation.models.remove(&offer(model, version));
        }
        OrderAction::SetRole { role: wanted } => *role = *wanted,
        OrderAction::SetDrain { .. } => {}
    }
}

/// An engine that a former holder drained could stay drained if the drain was ended during the
/// leader change, since announcements don't show a drain to the new holder.
#[test]
fn new_holder_ends_a_former_holders_drain() {
    let now = ClockTime::ZERO;
    let mut table = OrderTable::new(OrderSettings::default(), FencingToken(2), now);
    table.set_target("engine", target("caption", "v1"), 0);
    table.observe(
        "engine",
        EngineObservation {
            incarnation: 1,
            models: target("caption", "v1").models,
        },
    );
    assert!(table.due_orders(now, |_| true, |_| 0).is_empty());
    table.mark_drain_unknown("engine");
    let orders = table.due_orders(now, |_| true, |_| 0);
    let actions: Vec<_> = orders.iter().map(|order| &order.action).collect();
    assert_eq!(actions, [&OrderAction::SetDrain { drain: false }]);
    assert!(table.acknowledge(orders[0].id));
    assert!(table.due_orders(now, |_| true, |_| 0).is_empty());
}

/// A deposed holder could overwrite the targets of the new one with a delayed plan.
#[test]
fn plans_of_a_former_holder_are_refused() {
    let mut harness = LeaseHarness::default();
    let (old, new) = (harness.grant(), harness.grant());
    let mut plan = |fence| {
        let targets = vec![("engine-1".to_owned(), Some(target("captions", "v1")))];
        let command = common::command(0, StateAction::Plan { fence, targets });
        let index = harness.0.applied() + 1;
        harness.0.apply(index, &command.to_bytes()).unwrap()
    };
    assert_eq!(
        plan(old),
        ApplyOutcome::Planned(PlanOutcome::OldFence { fence: new })
    );
    assert_eq!(plan(new), ApplyOutcome::Planned(PlanOutcome::Taken));
    assert!(harness.0.plan().target("engine-1").is_some());
}

/// Loads could exceed the weight store's rate, or urgent ones wait behind others.
#[test]
fn loads_respect_the_rate_and_urgency() {
    let mut total = 0;
    for seed in 0..50 {
        let mut rng = SeededRng::new(seed);
        let rate = LoadRate {
            mb_per_s: 50,
            burst_mb: 2000,
            max_concurrent: 3,
        };
        let mut queue = LoadQueue::new(rate, ClockTime(0));
        let mut sizes = BTreeMap::new();
        let mut wanted: BTreeMap<OrderKey, u32> = BTreeMap::new();
        let mut starts: Vec<(u64, u64)> = Vec::new();
        let mut running = BTreeSet::new();
        for now in (0..600_000).step_by(500) {
            if rng.chance(5) {
                let action = OrderAction::Load {
                    model: "captions".to_owned(),
                    version: "v1".to_owned(),
                    adapter: None,
                };
                let engine = format!("engine-{}", rng.below(30));
                let key = OrderKey { engine, action };
                let size = *sizes.entry(key.clone()).or_insert(rng.below(3000) as u32);
                let urgency = rng.below(5) as u32;
                queue.enqueue(key.clone(), size, urgency);
                if !running.contains(&key) {
                    wanted.insert(key, urgency);
                }
            }
            if rng.chance(3)
                && let Some(key) = running.pop_first()
            {
                queue.remove(&key);
            }
            while let Some(key) = queue.start_next(ClockTime(now), |_| true) {
                let urgency = wanted.remove(&key).unwrap();
                assert!(
                    wanted.values().all(|other| *other <= urgency),
                    "seed {seed}"
                );
                starts.push((now, u64::from(sizes[&key])));
                running.insert(key);
                assert!(running.len() <= rate.max_concurrent);
            }
        }
        for (place, (from, _)) in starts.iter().enumerate() {
            let (mut sum, mut largest) = (0, 0);
            for (at, size) in &starts[place..] {
                sum += size;
                largest = largest.max(*size);
                let allowed = u64::from(rate.mb_per_s) * (at - from) / 1000;
                assert!(
                    sum <= allowed + u64::from(rate.burst_mb).max(largest),
                    "seed {seed}"
                );
            }
        }
        total += starts.len();
    }
    println!("{total} loads started in 50 schedules of 600 s");
    assert!(total > 500);
}
