use std::{
    rc::Rc,
    time::Duration, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_settings::prelude::*;
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
    service_gate::GateDecision,
    work_estimate::can_end, //
};

/// Permit to send a request to a service's endpoints, released when dropped.
///
/// A permit that is never released reduces the capacity for this edge's clients permanently.
pub(crate) struct GatePermit {
    shared: Rc<EdgeShared>,
    plan: Rc<RequestPlan>,
    /// Customer to whom the slot is charged.
    customer: Option<CustomerTag>,
    /// Time that the request was queued at the gate.
    pub(crate) waited: Duration,
}

/// Time at the gate from which a request counts as queued there; admission at once takes less.
const QUEUED_TIME: Duration = Duration::from_millis(1);

impl GatePermit {
    /// Whether the request was queued at the gate.
    pub(crate) fn has_queued(&self) -> bool {
        self.waited >= QUEUED_TIME
    }
}

impl Drop for GatePermit {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut state = self.shared.state.borrow_mut();
        if let Some(gate) = state.gates.get_mut(&self.plan.service) {
            gate.release(self.customer, now);
        }
    }
}

/// A request queued at a gate; on drop it releases a slot that was granted but not used.
struct GateWait<'a> {
    shared: &'a EdgeShared,
    plan: &'a RequestPlan,
    customer: Option<CustomerTag>,
    ticket: QueueTicket,
    admission: oneshot::Receiver<()>,
    is_finished: bool,
}

impl GateWait<'_> {
    /// Ends the wait; returns whether the request was admitted.
    fn finish(&mut self) -> bool {
        self.is_finished = true;
        let now = self.shared.now();
        let mut state = self.shared.state.borrow_mut();
        let gate = state.gates.get_mut(&self.plan.service);
        gate.is_some_and(|gate| gate.finish_wait(self.ticket, &mut self.admission, now))
    }
}

impl Drop for GateWait<'_> {
    fn drop(&mut self) {
        if self.is_finished || !self.finish() {
            return;
        }
        let now = self.shared.now();
        let mut state = self.shared.state.borrow_mut();
        if let Some(gate) = state.gates.get_mut(&self.plan.service) {
            gate.release(self.customer, now);
        }
    }
}

/// Returns the customer to whom a request is charged; `None` if customers do not share room.
pub(crate) fn charged_customer(
    mechanisms: &MechanismSettings,
    name: Option<&str>,
) -> Option<CustomerTag> {
    let charged = name.filter(|_| mechanisms.customer_shares);
    charged.map(CustomerTag::of)
}

/// Waits for admission; returns `None` if the request cannot be admitted in time.
pub(crate) async fn acquire_permit(
    shared: &Rc<EdgeShared>,
    plan: &Rc<RequestPlan>,
) -> Option<GatePermit> {
    let started_at = Instant::now();
    let mechanisms = &shared.settings.mechanisms;
    let customer = charged_customer(mechanisms, plan.customer_name());
    let permit = || GatePermit {
        shared: Rc::clone(shared),
        plan: Rc::clone(plan),
        customer,
        waited: started_at.elapsed(),
    };
    if !mechanisms.admission {
        return Some(permit());
    }
    let now = shared.now();
    let time_left = plan.deadline.saturating_duration_since(plan.received_at);
    let max_wait = plan.max_gate_wait();
    let decision = {
        let mut state = shared.state.borrow_mut();
        let work = match mechanisms.request_work {
            true => state.work_of(plan, now),
            false => RequestWork::default(),
        };
        let is_bounded = mechanisms.request_work && state.note_memory(plan, &work, now);
        if is_bounded && !can_end(plan, &work, time_left) {
            metrics::counter!(metric_names::WORK_REFUSALS).increment(1);
            tracing::info!(
                request = plan.id,
                memory_tokens = work.memory_tokens,
                output_tokens = work.output_tokens,
                slot_ms = work.slot_time.as_millis() as u64,
                "the request cannot end before its client leaves"
            );
            return None;
        }
        let LeadOrder { rank, is_late, .. } = state.lead_order(plan, mechanisms);
        let request = AdmissionRequest {
            rank,
            is_late,
            queue_timeout: max_wait,
            customer,
            work,
        };
        state.gate_mut(&plan.service, now).offer(request, now)
    };
    let (ticket, admission) = match decision {
        GateDecision::Admitted => return Some(permit()),
        GateDecision::Queued(ticket, admission) => (ticket, admission),
    };
    let mut wait = GateWait {
        shared,
        plan,
        customer,
        ticket,
        admission,
        is_finished: false,
    };
    let is_admitted = match timeout(max_wait, &mut wait.admission).await {
        Ok(admission) => {
            wait.is_finished = true;
            admission.is_ok()
        }
        Err(_) => wait.finish(),
    };
    metrics::histogram!(metric_names::GATE_WAIT_SECONDS).record(started_at.elapsed());
    is_admitted.then(permit)
}
