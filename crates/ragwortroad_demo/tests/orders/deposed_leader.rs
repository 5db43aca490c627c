use std::{
    collections::BTreeSet,
    time::Duration, //
};

use ragwortroad_demo::prelude::*;
use ragwortroad_standin::prelude::*;
use ragwortroad_types::prelude::*;

use crate::common::{
    change,
    lock_fleets,
    orders,
    quick_plan,
    start, //
};

/// How the leader loses contact with the other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaderFault {
    /// Its links to the other nodes are blocked, but it still reaches the engines.
    Partitioned,
    /// It is paused and later resumes without noticing.
    Paused,
}

/// Starts a fleet whose engines acknowledge every order without executing it, so that leaders keep
/// sending orders.
fn non_executing_fleet(checks_fencing: bool) -> SmallFleet {
    let mut plan = quick_plan();
    plan.orders.resend = Duration::from_millis(50);
    plan.engine.checks_fencing = checks_fencing;
    let fleet = start(plan);
    for engine in fleet.engines.iter().flatten() {
        engine.set_faults(FaultPlan {
            acknowledge_only: true,
            ..FaultPlan::default()
        });
    }
    change(&fleet, "add model tutor version v1 replicas 4..4 size 1gb");
    fleet
}

fn fences(orders: &[OrderRecord]) -> BTreeSet<FencingToken> {
    orders.iter().map(|record| record.order.fence).collect()
}

/// Returns the first accepted order with a lower fencing token than an earlier order to the same
/// engine.
fn stale_order(orders: &[OrderRecord]) -> Option<&OrderRecord> {
    orders.iter().enumerate().find_map(|(index, record)| {
        let has_newer_fence = |earlier: &OrderRecord| {
            earlier.endpoint == record.endpoint && earlier.order.fence > record.order.fence
        };
        let is_stale = record.accepted && orders[..index].iter().any(has_newer_fence);
        is_stale.then_some(record)
    })
}

fn run(checks_fencing: bool, fault: LeaderFault) {
    let fleet = non_executing_fleet(checks_fencing);
    let all: Vec<usize> = (0..fleet.nodes.len()).collect();
    wait_until("orders of the first leader", || orders(&fleet).len() > 20).unwrap();
    let old_leader = fleet.leader(&all).unwrap();
    let old_fence = *fences(&orders(&fleet)).last().unwrap();
    let others: Vec<usize> = all.into_iter().filter(|node| *node != old_leader).collect();
    let freeze = match fault {
        LeaderFault::Partitioned => {
            fleet.partition(&[old_leader]);
            None
        }
        LeaderFault::Paused => Some(fleet.nodes[old_leader].as_ref().unwrap().freeze()),
    };
    wait_until("orders of the next leader", || {
        let newer = orders(&fleet);
        newer
            .iter()
            .filter(|record| record.order.fence > old_fence)
            .count()
            > 20
    })
    .unwrap();
    assert!(
        fleet
            .leader(&others)
            .is_some_and(|leader| leader != old_leader)
    );
    // The old leader resumes and its links are unblocked, while orders are sent all the time.
    drop(freeze);
    let before = orders(&fleet).len();
    wait_until("orders after the leader resumed", || {
        orders(&fleet).len() > before + 50
    })
    .unwrap();
    fleet.heal_partition();
    let before = orders(&fleet).len();
    wait_until("orders after the partition healed", || {
        orders(&fleet).len() > before + 50
    })
    .unwrap();
    let orders = orders(&fleet);
    assert!(fences(&orders).len() >= 2);
    let stale = stale_order(&orders);
    assert!(
        stale.is_none(),
        "{fault:?}, fencing checked: {checks_fencing}: {stale:?}"
    );
    fleet.stop();
}

/// Guards against orders of a deposed leader that undo those of the next leader: the old leader
/// is partitioned or paused, and resumes while the new one sends orders.
#[test]
fn no_order_of_a_deposed_leader_takes_effect() {
    let _lock = lock_fleets();
    for checks_fencing in [true, false] {
        for fault in [LeaderFault::Partitioned, LeaderFault::Paused] {
            run(checks_fencing, fault);
        }
    }
}

/// Guards against a check that misses an order with an outdated fencing token.
#[test]
fn the_order_check_detects_an_outdated_order() {
    let record = |fence: u64| OrderRecord {
        endpoint: "engine-0".to_owned(),
        order: OrderWire {
            fence: FencingToken(fence),
            number: 1,
            kind: OrderKind::SetDrain { drain: false },
        },
        accepted: true,
        received_at: std::time::Instant::now(),
    };
    assert!(stale_order(&[record(1), record(2), record(2)]).is_none());
    assert!(stale_order(&[record(1), record(2), record(1)]).is_some());
}
