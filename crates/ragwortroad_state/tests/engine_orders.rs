//! Orders to engines: a paused leader, engines that ignore fencing numbers, repeated and late
//! answers, and the weight store's rate.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use common::SeededDraw;
use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

const DRIFT_PPM: u64 = 200_000;
const FLIGHT_MS: u64 = 2000;
const LEASE_MS: u64 = 1500;

/// A fault of the gate, which the check must notice.
#[derive(Clone, Copy, Debug, PartialEq)]
enum GateFault {
    None,
    NoWait,
    /// The wait leaves out how long an order may be on the way.
    IgnoresFlight,
    IgnoresDrift,
    /// The holder looks at its lease before it is paused and not again.
    ChecksEarly,
}

/// A holder whose clock runs at a rate of its own.
struct PausedHolder {
    rate: u64,
    gate: OrderGate,
    lead_until: ClockTime,
    paused_until: u64,
}

impl PausedHolder {
    fn read(&self, true_ms: u64) -> ClockTime {
        ClockTime(true_ms * self.rate / 1_000_000)
    }
}

/// Orders take effect at two engines, one that checks fencing numbers and one that does not. Gives
/// how many took effect and whether an old order came after a newer holder's.
fn run_holders(seed: u64, fault: GateFault) -> (u64, bool) {
    let mut draw = SeededDraw::new(seed);
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
    let mut lease = LeaseTableProbe::default();
    let mut holders: Vec<PausedHolder> = Vec::new();
    let mut wire: Vec<(u64, FenceNumber, bool)> = Vec::new();
    let mut highest = [FenceNumber(0); 2];
    let (mut true_ms, mut effects, mut broken) = (0, 0, false);
    for _ in 0..3000 {
        true_ms += draw.below(60);
        if holders.is_empty() || draw.below(250) == 0 {
            let rate = 1_000_000 - DRIFT_PPM + extreme(&mut draw, 2 * DRIFT_PPM);
            let now = ClockTime(true_ms * rate / 1_000_000);
            let applied_at = match fault {
                GateFault::NoWait => ClockTime(0),
                _ => now,
            };
            let gate = OrderGate::new(timing, lease.grant(), applied_at);
            let lead_until = now.after(Duration::from_millis(LEASE_MS));
            holders.push(PausedHolder {
                rate,
                gate,
                lead_until,
                paused_until: 0,
            });
        }
        let newest = holders.len() - 1;
        for (place, holder) in holders.iter_mut().enumerate().rev().take(3) {
            if true_ms < holder.paused_until {
                continue;
            }
            let now = holder.read(true_ms);
            // Only the holder in charge gets its quorum's word.
            if place == newest && draw.chance(60) {
                holder.lead_until = now.after(Duration::from_millis(LEASE_MS));
            }
            if draw.below(300) == 0 {
                holder.paused_until = true_ms + draw.below(20_000);
                if fault != GateFault::ChecksEarly {
                    continue;
                }
            }
            let checks = draw.chance(50);
            if let Ok(fence) = holder.gate.may_order(now, holder.lead_until, checks) {
                let sent_at = true_ms.max(holder.paused_until);
                wire.push((sent_at + extreme(&mut draw, FLIGHT_MS), fence, checks));
            }
        }
        wire.retain(|(at, fence, checks)| {
            if *at > true_ms {
                return true;
            }
            let seen = &mut highest[usize::from(*checks)];
            let old = *fence < *seen;
            // An engine that checks refuses the old number itself.
            broken |= old && !*checks;
            effects += u64::from(!(old && *checks));
            *seen = (*seen).max(*fence);
            false
        });
    }
    (effects, broken)
}

/// A number up to `most`, often one of the ends, where errors show.
fn extreme(draw: &mut SeededDraw, most: u64) -> u64 {
    match draw.below(3) {
        0 => 0,
        1 => most,
        _ => draw.below(most + 1),
    }
}

/// Fencing numbers as the replicated state gives them.
#[derive(Default)]
struct LeaseTableProbe(FleetState);

impl LeaseTableProbe {
    fn grant(&mut self) -> FenceNumber {
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

/// Guards against orders of a deposed leader after those of the new one.
#[test]
fn no_old_order_follows_a_new_one_at_an_engine_that_checks_nothing() {
    let mut effects = 0;
    for seed in 0..300 {
        let (count, broken) = run_holders(seed, GateFault::None);
        assert!(!broken, "seed {seed}");
        effects += count;
    }
    println!("{effects} orders took effect in 300 schedules of 3000 steps");
    assert!(effects > 100_000);
}

/// The check above is worth something only if it notices gates that are wrong.
#[test]
fn the_check_notices_each_fault() {
    for fault in [
        GateFault::NoWait,
        GateFault::IgnoresFlight,
        GateFault::IgnoresDrift,
        GateFault::ChecksEarly,
    ] {
        let noticed = (0..100).filter(|seed| run_holders(*seed, fault).1).count();
        println!("{fault:?}: noticed in {noticed} of 100 schedules");
        assert!(
            noticed >= 10,
            "{fault:?}: noticed in {noticed} of 100 schedules"
        );
    }
}

/// The wait covers lease, drift and flight; it is the sum of them when clocks are perfect.
#[test]
fn the_wait_follows_its_inequality() {
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

/// Guards against orders that never come to an end.
#[test]
fn orders_come_to_the_plan_whatever_is_lost_or_repeated() {
    let mut sent = 0;
    for seed in 0..60 {
        let mut draw = SeededDraw::new(seed);
        let rate = LoadRate {
            mb_per_s: 100,
            burst_mb: 1000,
            max_concurrent: 2,
        };
        let settings = OrderSettings {
            rate,
            ..OrderSettings::default()
        };
        let mut table = OrderTable::new(settings, FenceNumber(3), ClockTime(0));
        let mut engines: BTreeMap<String, (EngineObservation, EngineRole)> = BTreeMap::new();
        let mut late: Vec<EngineOrder> = Vec::new();
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
            let sight = EngineObservation {
                incarnation: 1,
                models,
            };
            engines.insert(name, (sight, EngineRole::Both));
        }
        let mut now = 0;
        for round in 0..400 {
            now += 1000;
            let calm = round > 200;
            for (name, (sight, role)) in &mut engines {
                if !calm && draw.chance(2) {
                    sight.incarnation += 1;
                    sight.models.clear();
                    *role = EngineRole::Both;
                }
                table.observe(name, sight.clone());
            }
            let mut orders = table.due_orders(ClockTime(now), |_| true, |_| 500);
            sent += orders.len();
            if draw.chance(30) {
                orders.extend(draw.take(&mut late));
            }
            for order in orders {
                if !calm && draw.chance(30) {
                    continue;
                }
                let (sight, role) = engines.get_mut(&order.engine).unwrap();
                carry_out(&order.action, sight, role);
                if calm || draw.chance(70) {
                    table.acknowledge(order.id);
                }
                if !calm {
                    late.push(order);
                }
            }
            if calm {
                late.clear();
            }
        }
        for (number, (sight, role)) in engines.values().enumerate() {
            assert_eq!(
                sight.models,
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
            fence: FenceNumber(2),
            number: 1
        }));
    }
    println!("{sent} orders sent in 60 schedules of 400 rounds");
}

fn carry_out(action: &OrderAction, sight: &mut EngineObservation, role: &mut EngineRole) {
    match action {
        OrderAction::Load { model, version, .. } => {
            sight.models.insert(offer(model, version));
        }
        OrderAction::Unload { model, version, .. } => {
            sight.models.remove(&offer(model, version));
        }
        OrderAction::SetRole { role: wanted } => *role = *wanted,
        OrderAction::SetDrain { .. } => {}
    }
}

/// Guards against engines that stay drained after their drain was ended.
#[test]
fn a_drain_of_a_former_holder_is_ended_by_the_next() {
    let now = ClockTime::ZERO;
    let mut table = OrderTable::new(OrderSettings::default(), FenceNumber(2), now);
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

/// Guards against plans of a deposed holder that undo the new one's.
#[test]
fn plans_of_a_former_holder_are_refused() {
    let mut probe = LeaseTableProbe::default();
    let (old, new) = (probe.grant(), probe.grant());
    let mut plan = |fence| {
        let targets = vec![("engine-1".to_owned(), Some(target("captions", "v1")))];
        let command = common::command(0, StateAction::Plan { fence, targets });
        let index = probe.0.applied() + 1;
        probe.0.apply(index, &command.to_bytes()).unwrap()
    };
    assert_eq!(
        plan(old),
        ApplyOutcome::Planned(PlanOutcome::OldFence { fence: new })
    );
    assert_eq!(plan(new), ApplyOutcome::Planned(PlanOutcome::Taken));
    assert!(probe.0.plan().target("engine-1").is_some());
}

/// Guards against loads beyond the store's rate, and the needed ones last.
#[test]
fn loads_keep_the_rate_and_go_by_need() {
    let mut total = 0;
    for seed in 0..50 {
        let mut draw = SeededDraw::new(seed);
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
            if draw.chance(5) {
                let action = OrderAction::Load {
                    model: "captions".to_owned(),
                    version: "v1".to_owned(),
                    adapter: None,
                };
                let engine = format!("engine-{}", draw.below(30));
                let key = OrderKey { engine, action };
                let size = *sizes.entry(key.clone()).or_insert(draw.below(3000) as u32);
                let urgency = draw.below(5) as u32;
                queue.enqueue(key.clone(), size, urgency);
                if !running.contains(&key) {
                    wanted.insert(key, urgency);
                }
            }
            if draw.chance(3)
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
