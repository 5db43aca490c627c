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

/// How the leader loses touch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaderFault {
    /// Its links to the other nodes are cut; engines still hear it.
    Partitioned,
    /// It gets no processor, and goes on as if nothing had been.
    Paused,
}

/// Engines that confirm every order and obey none, so that a leader never stops giving them.
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

fn fences(orders: &[OrderRecord]) -> BTreeSet<FenceNumber> {
    orders.iter().map(|record| record.order.fence).collect()
}

/// Each engine's orders that took effect, in the order in which they came, never go back.
fn stale_order(orders: &[OrderRecord]) -> Option<&OrderRecord> {
    orders.iter().enumerate().find_map(|(place, record)| {
        let later_fence = |earlier: &OrderRecord| {
            earlier.endpoint == record.endpoint && earlier.order.fence > record.order.fence
        };
        let went_back = record.accepted && orders[..place].iter().any(later_fence);
        went_back.then_some(record)
    })
}

fn run(checks_fencing: bool, fault: LeaderFault) {
    let fleet = non_executing_fleet(checks_fencing);
    let all: Vec<usize> = (0..fleet.nodes.len()).collect();
    wait_until("orders of the first leader", || orders(&fleet).len() > 20).unwrap();
    let old = fleet.leader(&all).unwrap();
    let old_fence = *fences(&orders(&fleet)).last().unwrap();
    let others: Vec<usize> = all.into_iter().filter(|node| *node != old).collect();
    let hold = match fault {
        LeaderFault::Partitioned => {
            fleet.partition(&[old]);
            None
        }
        LeaderFault::Paused => Some(fleet.nodes[old].as_ref().unwrap().freeze()),
    };
    wait_until("orders of the next leader", || {
        let newer = orders(&fleet);
        newer.iter().filter(|r| r.order.fence > old_fence).count() > 20
    })
    .unwrap();
    assert!(fleet.leader(&others).is_some_and(|leader| leader != old));
    // The old one comes back to itself and to the others, while orders are given all the time.
    drop(hold);
    let before = orders(&fleet).len();
    wait_until("orders after the pause", || {
        orders(&fleet).len() > before + 50
    })
    .unwrap();
    fleet.heal_partition();
    let before = orders(&fleet).len();
    wait_until("orders after the cut", || {
        orders(&fleet).len() > before + 50
    })
    .unwrap();
    let orders = orders(&fleet);
    assert!(fences(&orders).len() >= 2);
    let back = stale_order(&orders);
    assert!(
        back.is_none(),
        "{fault:?}, checked: {checks_fencing}: {back:?}"
    );
    fleet.stop();
}

/// Guards against orders of a deposed leader that undo those of the next.
#[test]
fn a_deposed_leader_gives_no_order_that_takes_effect() {
    let _only = lock_fleets();
    for checks_fencing in [true, false] {
        for fault in [LeaderFault::Partitioned, LeaderFault::Paused] {
            run(checks_fencing, fault);
        }
    }
}

/// The check itself: a record in which an old order comes after a new one must be noticed.
#[test]
fn an_old_order_after_a_new_one_is_noticed() {
    let record = |fence: u64| OrderRecord {
        endpoint: "engine-0".to_owned(),
        order: OrderWire {
            fence: FenceNumber(fence),
            number: 1,
            kind: OrderKind::SetDrain { drain: false },
        },
        accepted: true,
        received_at: std::time::Instant::now(),
    };
    assert!(stale_order(&[record(1), record(2), record(2)]).is_none());
    assert!(stale_order(&[record(1), record(2), record(1)]).is_some());
}
