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
    learned: LatencyLimit,
    /// Whether the limit comes from the fleet's load.
    is_told: bool,
    /// Tells a waiting task that it may go on; dropped where it may not.
    waiting: HashMap<QueueTicket, oneshot::Sender<()>>,
}

/// How a request gets past a gate.
pub(crate) enum GateWay {
    Open,
    Wait(QueueTicket, oneshot::Receiver<()>),
}

impl ServiceGate {
    pub(crate) fn new(now: ClockTime) -> Self {
        Self {
            gate: AdmissionGate::new(now),
            learned: LatencyLimit::default(),
            is_told: false,
            waiting: HashMap::new(),
        }
    }

    /// Whether some request has yet to leave it.
    pub(crate) fn is_used(&self) -> bool {
        self.gate.in_flight() > 0 || self.gate.waiting() > 0
    }

    /// The gate's figures.
    pub(crate) fn gate(&self) -> &AdmissionGate {
        &self.gate
    }

    /// Sets the limit by what is known of the engines' load, or else by what was learned.
    pub(crate) fn follow(&mut self, fleet: Option<FleetLoad>, now: ClockTime) {
        self.is_told = fleet.is_some();
        let limit = fleet.map_or(self.learned.limit(), |fleet| fleet.own_limit());
        self.gate.set_limit(limit, now);
        self.settle(now);
    }

    /// Notes how long an answer of a plain service took, and the time it should take.
    pub(crate) fn note_answer(&mut self, took: Duration, target: Duration, now: ClockTime) {
        let under_way = self.gate.in_flight();
        if !self.is_told && self.learned.note(took, target, under_way) {
            self.gate.set_limit(self.learned.limit(), now);
            self.settle(now);
        }
    }

    pub(crate) fn offer(&mut self, offer: AdmissionRequest, now: ClockTime) -> GateWay {
        match self.gate.offer(offer, now) {
            AdmissionDecision::Admitted => GateWay::Open,
            AdmissionDecision::Queued(ticket) => {
                let (sender, receiver) = oneshot::channel();
                self.waiting.insert(ticket, sender);
                self.settle(now);
                GateWay::Wait(ticket, receiver)
            }
        }
    }

    pub(crate) fn leave(&mut self, now: ClockTime) {
        self.gate.release(now);
        self.settle(now);
    }

    /// The task of a ticket waits no longer; tells whether it was called, and so has a place.
    ///
    /// A task may end after it was called and before it has noticed, as its caller leaves or its
    /// patience ends at that moment. The place of one that was not asked here would be lost for good,
    /// and after some hundred of them the edge would refuse everybody.
    pub(crate) fn end_wait(
        &mut self,
        ticket: QueueTicket,
        called: &mut oneshot::Receiver<()>,
        now: ClockTime,
    ) -> bool {
        if called.try_recv().is_ok() {
            return true;
        }
        self.settle(now);
        if self.waiting.remove(&ticket).is_some() {
            self.gate.cancel(ticket);
        }
        called.try_recv().is_ok()
    }

    /// Lets go on who may, and ends the wait of who waits in vain.
    fn settle(&mut self, now: ClockTime) {
        while let Some(ticket) = self.gate.admit_next(now) {
            let sender = self.waiting.remove(&ticket);
            // A task that has just ended leaves its place to the next one.
            if sender.is_none_or(|sender| sender.send(()).is_err()) {
                self.gate.release(now);
            }
        }
        while let Some(ticket) = self.gate.shed_next(now) {
            self.waiting.remove(&ticket);
        }
    }
}
