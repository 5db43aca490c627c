use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_types::prelude::*;
use tokio::sync::oneshot;

/// Admission gate of one service, with the tasks queued at it.
#[derive(Debug)]
pub(crate) struct ServiceGate {
    gate: AdmissionGate,
    /// Limit learned from response times, used if the fleet's load does not provide one.
    latency_limit: LatencyLimit,
    /// Whether the limit comes from the fleet's load.
    has_fleet_limit: bool,
    /// Whether the fleet's load may have changed since the limit was set.
    is_limit_outdated: bool,
    /// Queued tasks by ticket.
    waiting: HashMap<QueueTicket, QueuedTask>,
}

/// A task that is queued at a gate.
#[derive(Debug)]
struct QueuedTask {
    customer: Option<CustomerTag>,
    /// Wakes the task on admission; dropped if the request is shed.
    sender: oneshot::Sender<()>,
}

/// Decision of a gate on a request.
pub(crate) enum GateDecision {
    Admitted,
    Queued(QueueTicket, oneshot::Receiver<()>),
}

impl ServiceGate {
    pub(crate) fn new(now: ClockTime) -> Self {
        Self {
            gate: AdmissionGate::new(now),
            latency_limit: LatencyLimit::default(),
            has_fleet_limit: false,
            is_limit_outdated: false,
            waiting: HashMap::new(),
        }
    }

    /// Whether any request is in flight or queued.
    pub(crate) fn is_used(&self) -> bool {
        self.gate.in_flight() > 0 || self.gate.waiting() > 0
    }

    /// The underlying gate, for its counters and limit.
    pub(crate) fn gate(&self) -> &AdmissionGate {
        &self.gate
    }

    /// Sets the limit from the load of the fleet, or else from the learned response times.
    pub(crate) fn update_limit(&mut self, fleet_limit: Option<f64>, now: ClockTime) {
        self.has_fleet_limit = fleet_limit.is_some();
        self.is_limit_outdated = false;
        let limit = fleet_limit.unwrap_or(self.latency_limit.limit());
        self.gate.set_limit(limit, now);
        self.wake_waiters(now);
    }

    /// Sets the shares of customers in the fleet, `None` while there is room for all, and the scales
    /// by which their uses are compared.
    pub(crate) fn set_shares(
        &mut self,
        shares: Option<CustomerShares>,
        scales: BTreeMap<CustomerTag, f64>,
    ) {
        self.gate.set_scales(scales);
        self.gate.set_shares(shares);
    }

    /// What each customer with recent requests runs and wants, in slots.
    pub(crate) fn customer_loads(
        &mut self,
        service: ServiceTag,
        now: ClockTime,
    ) -> Vec<CustomerLoad> {
        self.gate.customer_loads(service, now)
    }

    /// Records that the fleet's load may have changed.
    pub(crate) fn mark_limit_outdated(&mut self, now: ClockTime) {
        self.is_limit_outdated = true;
        self.gate.expire_customers(now);
        self.gate.update_completion_rate(now);
    }

    /// Whether [`Self::update_limit`] is due before the next decision.
    pub(crate) fn is_limit_outdated(&self) -> bool {
        self.is_limit_outdated
    }

    /// Records the response time of a service without engines, and its target.
    pub(crate) fn record_response(&mut self, latency: Duration, target: Duration, now: ClockTime) {
        let in_flight = self.gate.in_flight();
        if !self.has_fleet_limit && self.latency_limit.note(latency, target, in_flight) {
            self.gate.set_limit(self.latency_limit.limit(), now);
            self.wake_waiters(now);
        }
    }

    /// Forgets the learned response times, and the limit derived from them.
    pub(crate) fn forget_latencies(&mut self, now: ClockTime) {
        self.latency_limit = LatencyLimit::default();
        self.mark_limit_outdated(now);
    }

    pub(crate) fn offer(&mut self, request: AdmissionRequest, now: ClockTime) -> GateDecision {
        let customer = request.customer;
        match self.gate.offer(request, now) {
            AdmissionDecision::Admitted => GateDecision::Admitted,
            AdmissionDecision::Queued(ticket) => {
                let (sender, receiver) = oneshot::channel();
                self.waiting.insert(ticket, QueuedTask { customer, sender });
                self.wake_waiters(now);
                GateDecision::Queued(ticket, receiver)
            }
        }
    }

    pub(crate) fn release(&mut self, customer: Option<CustomerTag>, now: ClockTime) {
        self.gate.release_for(customer, now);
        self.wake_waiters(now);
    }

    /// Ends the wait of a queued request; returns whether it was admitted and so holds a slot.
    ///
    /// A task can end between its admission and noticing it, when its client disconnects or its
    /// queue timeout expires at that moment. Without this check its slot would leak, and after a
    /// few hundred leaked slots the edge would refuse all requests.
    pub(crate) fn finish_wait(
        &mut self,
        ticket: QueueTicket,
        admission: &mut oneshot::Receiver<()>,
        now: ClockTime,
    ) -> bool {
        if admission.try_recv().is_ok() {
            return true;
        }
        self.wake_waiters(now);
        if self.waiting.remove(&ticket).is_some() {
            self.gate.cancel(ticket);
        }
        admission.try_recv().is_ok()
    }

    /// Admits queued requests as far as the limit allows, and sheds those that cannot be served in
    /// time.
    fn wake_waiters(&mut self, now: ClockTime) {
        while let Some(ticket) = self.gate.admit_next(now) {
            let task = self.waiting.remove(&ticket);
            let customer = task.as_ref().and_then(|task| task.customer);
            // A task that has just ended passes its slot to the next one.
            if task.is_none_or(|task| task.sender.send(()).is_err()) {
                self.gate.release_for(customer, now);
            }
        }
        while let Some(ticket) = self.gate.shed_next(now) {
            self.waiting.remove(&ticket);
        }
    }
}
