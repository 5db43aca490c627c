use std::{
    collections::HashMap,
    time::Duration, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_types::prelude::*;
use tokio::sync::oneshot;

/// The gate of one service, with the tasks that wait at it.
#[derive(Debug)]
pub(crate) struct ServiceGate {
    gate: AdmissionGate,
    /// Learned limit, where the fleet's load does not tell one.
    latency_limit: LatencyLimit,
    /// Whether the limit comes from the fleet's load.
    has_fleet_limit: bool,
    /// Tells a waiting task that it may go on; dropped where it may not.
    waiting: HashMap<WaitTicket, oneshot::Sender<()>>,
}

/// How a request gets past a gate.
pub(crate) enum GateDecision {
    Admitted,
    Queued(WaitTicket, oneshot::Receiver<()>),
}

impl ServiceGate {
    pub(crate) fn new(now: ClockTime) -> Self {
        Self {
            gate: AdmissionGate::new(now),
            latency_limit: LatencyLimit::default(),
            has_fleet_limit: false,
            waiting: HashMap::new(),
        }
    }

    /// Whether some request has yet to leave it.
    pub(crate) fn is_used(&self) -> bool {
        self.gate.under_way() > 0 || self.gate.waiting() > 0
    }

    /// The gate's figures.
    pub(crate) fn gate(&self) -> &AdmissionGate {
        &self.gate
    }

    /// Sets the limit by what is known of the engines' load, or else by what was learned.
    pub(crate) fn update_limit(&mut self, fleet: Option<FleetLoad>, now: ClockTime) {
        self.has_fleet_limit = fleet.is_some();
        let limit = fleet.map_or(self.latency_limit.limit(), |fleet| fleet.own_limit());
        self.gate.set_limit(limit, now);
        self.wake_waiters(now);
    }

    /// Notes how long an answer of a plain service took, and the time it should take.
    pub(crate) fn record_response(&mut self, took: Duration, target: Duration, now: ClockTime) {
        let under_way = self.gate.under_way();
        if !self.has_fleet_limit && self.latency_limit.note(took, target, under_way) {
            self.gate.set_limit(self.latency_limit.limit(), now);
            self.wake_waiters(now);
        }
    }

    pub(crate) fn offer(&mut self, offer: GateOffer, now: ClockTime) -> GateDecision {
        match self.gate.offer(offer, now) {
            GateAnswer::Admitted => GateDecision::Admitted,
            GateAnswer::Waiting(ticket) => {
                let (sender, receiver) = oneshot::channel();
                self.waiting.insert(ticket, sender);
                self.wake_waiters(now);
                GateDecision::Queued(ticket, receiver)
            }
        }
    }

    pub(crate) fn release(&mut self, now: ClockTime) {
        self.gate.leave(now);
        self.wake_waiters(now);
    }

    /// The task of a ticket waits no longer; tells whether it was called, and so has a place.
    ///
    /// A task may end after it was called and before it has noticed, as its caller leaves or its
    /// patience ends at that moment. The place of one that was not asked here would be lost for good,
    /// and after some hundred of them the edge would refuse everybody.
    pub(crate) fn finish_wait(
        &mut self,
        ticket: WaitTicket,
        admission: &mut oneshot::Receiver<()>,
        now: ClockTime,
    ) -> bool {
        if admission.try_recv().is_ok() {
            return true;
        }
        self.wake_waiters(now);
        if self.waiting.remove(&ticket).is_some() {
            self.gate.give_up(ticket);
        }
        admission.try_recv().is_ok()
    }

    /// Lets go on who may, and ends the wait of who waits in vain.
    fn wake_waiters(&mut self, now: ClockTime) {
        while let Some(ticket) = self.gate.call_next(now) {
            let sender = self.waiting.remove(&ticket);
            // A task that has just ended leaves its place to the next one.
            if sender.is_none_or(|sender| sender.send(()).is_err()) {
                self.gate.leave(now);
            }
        }
        while let Some(ticket) = self.gate.take_displaced(now) {
            self.waiting.remove(&ticket);
        }
    }
}
