//! Accounting of gate slots between admission decisions and the tasks that wait for them.

use std::time::Duration;

use ragwortroad_dispatch::prelude::*;
use ragwortroad_types::prelude::*;

use crate::service_gate::{
    GateDecision,
    ServiceGate, //
};

fn request() -> AdmissionRequest {
    AdmissionRequest {
        rank: RequestRank::default(),
        is_late: false,
        queue_timeout: Duration::from_millis(200),
    }
}

/// A gate with one slot, which is taken, and one queued request.
fn full_gate_with_one_waiter(
    now: ClockTime,
) -> (ServiceGate, QueueTicket, tokio::sync::oneshot::Receiver<()>) {
    let mut gate = ServiceGate::new(now);
    let load = FleetLoad {
        capacity: 1.0,
        edges: 1,
        ..FleetLoad::default()
    };
    gate.update_limit(Some(load), now);
    assert!(matches!(gate.offer(request(), now), GateDecision::Admitted));
    match gate.offer(request(), now) {
        GateDecision::Queued(ticket, admission) => (gate, ticket, admission),
        GateDecision::Admitted => panic!("the only slot is taken"),
    }
}

/// A slot granted at the moment when its client disconnects would leak and reduce the capacity
/// permanently.
#[test]
fn a_slot_granted_to_an_ended_wait_can_be_released() {
    let now = ClockTime(1000);
    let (mut gate, ticket, mut admission) = full_gate_with_one_waiter(now);
    gate.release(now);
    assert_eq!(
        gate.gate().in_flight(),
        1,
        "the queued request holds the slot"
    );
    assert!(gate.finish_wait(ticket, &mut admission, now));
    gate.release(now);
    assert_eq!(gate.gate().in_flight(), 0);
    assert!(matches!(gate.offer(request(), now), GateDecision::Admitted));
}

#[test]
fn a_wait_cancelled_before_admission_holds_no_slot() {
    let now = ClockTime(1000);
    let (mut gate, ticket, mut admission) = full_gate_with_one_waiter(now);
    assert!(!gate.finish_wait(ticket, &mut admission, now));
    assert_eq!(gate.gate().waiting(), 0);
    gate.release(now);
    assert_eq!(gate.gate().in_flight(), 0);
    assert!(!gate.is_used());
}
