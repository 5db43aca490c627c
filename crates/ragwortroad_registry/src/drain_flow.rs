//! What a registry does with orders to drain a failure domain, or to take that back.
//!
//! An order is a command of the replicated log. Whichever registry it comes to proposes it or passes
//! it on to the leader, and answers once the command is applied here: then it is durable at a quorum.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use ragwortroad_consensus::prelude::*;
use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;
use tokio::sync::oneshot;

use crate::{
    ControlReply,
    RegisterCommand,
    call_flow::{
        CALL_PATIENCE,
        MAX_WAITING,
        answer_call, //
    },
    drain_wait::DrainWait,
    registry_state::RegistryState, //
};

/// Time after which an order that was not applied is proposed or passed on again.
///
/// Applied twice it changes nothing the second time.
const TRY_AGAIN: Duration = Duration::from_millis(250);

impl RegistryState {
    /// Takes an operator's order.
    pub(crate) fn take_drain(
        &mut self,
        domain: String,
        is_drained: bool,
        reply: oneshot::Sender<ControlReply>,
        now: ClockTime,
    ) {
        let domains = &self.settings.domains;
        if !domains.is_empty() && !domains.contains(&domain) {
            let known = domains.join(", ");
            let reason = format!("there is no failure domain {domain}; name one of {known}");
            answer_call(reply, ControlReply::Invalid { reason });
            return;
        }
        if self.drain_waits.len() >= MAX_WAITING {
            let reason = "too many orders wait here; try another registry";
            answer_call(reply, ControlReply::Unavailable { reason });
            return;
        }
        tracing::info!(domain, is_drained, "a drain order came");
        let order = DrainOrder {
            id: rand::random(),
            domain,
            is_drained,
            seen: 0,
        };
        let wait = DrainWait {
            order,
            reply,
            came_at: now,
            tried_at: now,
        };
        self.try_drain(wait, now);
    }

    /// Proposes an order, or passes it on to the leader, as one that knows all drains known here.
    fn try_drain(&mut self, mut wait: DrainWait, now: ClockTime) {
        wait.order.seen = self.seat.drains().revision();
        wait.tried_at = now;
        let order = wait.order.clone();
        self.drain_waits.insert(order.id, wait);
        let Some(core) = self.seat.core() else {
            return;
        };
        if core.is_leader() {
            self.propose_drain(order, now);
            return;
        }
        if let Some(queue) = core.leader().and_then(|leader| self.queue_of(leader)) {
            queue.send(&LinkMessage::ForwardDrain(order));
        }
    }

    /// Takes an order into the log, if this registry leads.
    pub(crate) fn propose_drain(&mut self, order: DrainOrder, now: ClockTime) {
        let command = match postcard::to_stdvec(&RegisterCommand::Drain(order)) {
            Ok(command) => command,
            Err(error) => {
                tracing::error!(%error, "a drain order could not be encoded");
                return;
            }
        };
        let token = self.draw_token();
        let effects = self.seat.handle(CoreInput::Propose { token, command }, now);
        self.carry_out(effects, now);
    }

    /// An order was applied to the state here.
    pub(crate) fn follow_drain(
        &mut self,
        order: &DrainOrder,
        outcome: DrainOutcome,
        now: ClockTime,
    ) {
        let DrainOrder {
            domain, is_drained, ..
        } = order;
        tracing::info!(domain, is_drained, ?outcome, "a drain order was applied");
        if outcome == DrainOutcome::Changed {
            self.send_drains();
            if !is_drained {
                self.return_domain(domain, now);
            }
        }
        let Some(wait) = self.drain_waits.remove(&order.id) else {
            return;
        };
        match outcome {
            DrainOutcome::Changed | DrainOutcome::Unchanged => {
                answer_call(wait.reply, ControlReply::Done);
            }
            // Its operator waits still, so it is later than the order that it met.
            DrainOutcome::Superseded => {
                let order = DrainOrder {
                    id: rand::random(),
                    ..wait.order
                };
                self.try_drain(DrainWait { order, ..wait }, now);
            }
        }
    }

    /// Tells edges which domains are drained.
    pub(crate) fn send_drains(&self) {
        let drains = self.seat.drains().clone();
        self.send_to_edges(&LinkMessage::DomainDrains(drains));
    }

    /// The endpoints of a domain get work again, and may have gone cold without it.
    fn return_domain(&mut self, domain: &str, now: ClockTime) {
        for change in self.table.undrain_domain(domain, now) {
            self.queue_update(change);
        }
    }

    /// Tries waiting orders again and ends those whose operators have turned elsewhere.
    pub(crate) fn retry_drains(&mut self, now: ClockTime) {
        let waits = std::mem::take(&mut self.drain_waits);
        let is_due = |wait: &DrainWait| now.since(wait.tried_at) >= TRY_AGAIN;
        let (due, waiting) = waits.into_iter().partition(|(_, wait)| is_due(wait));
        self.drain_waits = waiting;
        for wait in BTreeMap::into_values(due) {
            if now.since(wait.came_at) < CALL_PATIENCE {
                self.try_drain(wait, now);
            } else {
                let reason = "no quorum has taken the order in time; send it again";
                answer_call(wait.reply, ControlReply::Unavailable { reason });
            }
        }
    }
}
