use std::{
    rc::Rc,
    time::Duration, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_telemetry::prelude::*;
use tokio::{
    sync::oneshot,
    time::{
        Instant,
        timeout, //
    }, //
};

use crate::{
    edge_state::EdgeShared,
    request_plan::RequestPlan,
    service_gate::GateWay, //
};

/// Leave to send a request to a service's endpoints; given back when this is dropped.
///
/// One that was not given back would take a place from this edge's callers for good.
pub(crate) struct GatePass {
    shared: Rc<EdgeShared>,
    plan: Rc<RequestPlan>,
    /// Time that the request waited at the gate.
    pub(crate) waited: Duration,
}

impl Drop for GatePass {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut state = self.shared.state.borrow_mut();
        if let Some(gate) = state.gates.get_mut(&self.plan.service) {
            gate.leave(now);
        }
    }
}

/// A task that waits at a gate; its place goes back where nobody takes it.
struct GateWait<'a> {
    shared: &'a EdgeShared,
    plan: &'a RequestPlan,
    ticket: QueueTicket,
    called: oneshot::Receiver<()>,
    is_over: bool,
}

impl GateWait<'_> {
    /// Ends the wait; tells whether the request may go on.
    fn end(&mut self) -> bool {
        self.is_over = true;
        let now = self.shared.now();
        let mut state = self.shared.state.borrow_mut();
        let gate = state.gates.get_mut(&self.plan.service);
        gate.is_some_and(|gate| gate.end_wait(self.ticket, &mut self.called, now))
    }
}

impl Drop for GateWait<'_> {
    fn drop(&mut self) {
        if self.is_over || !self.end() {
            return;
        }
        let now = self.shared.now();
        let mut state = self.shared.state.borrow_mut();
        if let Some(gate) = state.gates.get_mut(&self.plan.service) {
            gate.leave(now);
        }
    }
}

/// Waits until a request may go on; nothing if it cannot be served in time.
pub(crate) async fn pass_gate(shared: &Rc<EdgeShared>, plan: &Rc<RequestPlan>) -> Option<GatePass> {
    let begun = Instant::now();
    let pass = || GatePass {
        shared: Rc::clone(shared),
        plan: Rc::clone(plan),
        waited: begun.elapsed(),
    };
    let mechanisms = &shared.settings.mechanisms;
    if !mechanisms.admission {
        return Some(pass());
    }
    let now = shared.now();
    let time_left = plan.deadline.saturating_duration_since(plan.came_at);
    let patience = max_queue_time(plan.rule().target, time_left);
    let way = {
        let mut state = shared.state.borrow_mut();
        let offer = AdmissionRequest {
            rank: plan.map.request_rank(plan.route, plan.customer),
            is_late: mechanisms.late_last && state.time_spent(plan) >= plan.rule().target,
            queue_timeout: patience,
        };
        state.gate_mut(&plan.service, now).offer(offer, now)
    };
    let (ticket, called) = match way {
        GateWay::Open => return Some(pass()),
        GateWay::Wait(ticket, called) => (ticket, called),
    };
    let mut wait = GateWait {
        shared,
        plan,
        ticket,
        called,
        is_over: false,
    };
    let is_called = match timeout(patience, &mut wait.called).await {
        Ok(called) => {
            wait.is_over = true;
            called.is_ok()
        }
        Err(_) => wait.end(),
    };
    metrics::histogram!(metric_names::GATE_WAIT_SECONDS).record(begun.elapsed());
    is_called.then(pass)
}
