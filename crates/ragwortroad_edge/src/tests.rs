//! What an edge does between the decisions of its gates and the tasks that wait at them.

use std::time::Duration;

use ragwortroad_dispatch::prelude::*;
use ragwortroad_types::prelude::*;

use crate::service_gate::{
    GateWay,
    ServiceGate, //
};

fn offer() -> AdmissionRequest {
    AdmissionRequest {
        rank: RequestRank::default(),
        is_late: false,
        queue_timeout: Duration::from_millis(200),
    }
}

/// A gate with one place, which is taken, and a request that waits for it.
fn one_waits(now: ClockTime) -> (ServiceGate, QueueTicket, tokio::sync::oneshot::Receiver<()>) {
    let mut gate = ServiceGate::new(now);
    let load = FleetLoad {
        capacity: 1.0,
        edges: 1,
        ..FleetLoad::default()
    };
    gate.follow(Some(load), now);
    assert!(matches!(gate.offer(offer(), now), GateWay::Open));
    match gate.offer(offer(), now) {
        GateWay::Wait(ticket, called) => (gate, ticket, called),
        GateWay::Open => panic!("the place is taken"),
    }
}

/// Guards against places that are lost for good when a caller leaves.
#[test]
fn a_place_that_nobody_takes_goes_back() {
    let now = ClockTime(1000);
    let (mut gate, ticket, mut called) = one_waits(now);
    gate.leave(now);
    assert_eq!(
        gate.gate().in_flight(),
        1,
        "the one that waited has the place"
    );
    assert!(gate.end_wait(ticket, &mut called, now));
    gate.leave(now);
    assert_eq!(gate.gate().in_flight(), 0);
    assert!(matches!(gate.offer(offer(), now), GateWay::Open));
}

#[test]
fn a_wait_that_ends_before_its_turn_leaves_nothing() {
    let now = ClockTime(1000);
    let (mut gate, ticket, mut called) = one_waits(now);
    assert!(!gate.end_wait(ticket, &mut called, now));
    assert_eq!(gate.gate().waiting(), 0);
    gate.leave(now);
    assert_eq!(gate.gate().in_flight(), 0);
    assert!(!gate.is_used());
}
