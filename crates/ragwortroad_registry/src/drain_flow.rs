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
        CALL_TIMEOUT,
        MAX_QUEUED_CALLS,
        answer_call, //
    },
    queued_drain::QueuedDrain,
    registry_state::RegistryState, //
};

/// Time after which an order that was not applied is proposed_put or passed on again.
///
/// Applied twice it changes nothing the second time.
const DRAIN_RETRY_INTERVAL: Duration = Duration::from_millis(250);

impl RegistryState {
    /// Takes an operator's order.
    pub(crate) fn handle_drain_call(
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
        if self.queued_drains.len() >= MAX_QUEUED_CALLS {
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
        let wait = QueuedDrain {
            order,
            reply,
            received_at: now,
            attempted_at: now,
        };
        self.attempt_drain(wait, now);
    }

    /// Proposes an order, or passes it on to the leader, as one that knows all drains known here.
    fn attempt_drain(&mut self, mut wait: QueuedDrain, now: ClockTime) {
        wait.order.seen = self.driver.drains().revision();
        wait.attempted_at = now;
        let order = wait.order.clone();
        self.queued_drains.insert(order.id, wait);
        let Some(core) = self.driver.core() else {
            return;
        };
        if core.is_leader() {
            self.propose_drain(order, now);
            return;
        }
        if let Some(queue) = core.leader().and_then(|leader| self.member_queue(leader)) {
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
        let token = self.new_token();
        let effects = self
            .driver
            .handle(CoreInput::Propose { token, command }, now);
        self.apply_effects(effects, now);
    }

    /// An order was applied to the state here.
    pub(crate) fn handle_drain_applied(
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
            self.broadcast_drains();
            if !is_drained {
                self.undrain_domain(domain, now);
            }
        }
        let Some(wait) = self.queued_drains.remove(&order.id) else {
            return;
        };
        match outcome {
            DrainOutcome::Changed | DrainOutcome::Unchanged => {
                answer_call(wait.reply, ControlReply::Done);
            }
            // Its operator waits still, so it is later than the order that it met.
            DrainOutcome::Overtaken => {
                let order = DrainOrder {
                    id: rand::random(),
                    ..wait.order
                };
                self.attempt_drain(QueuedDrain { order, ..wait }, now);
            }
        }
    }

    /// Tells edges which domains are drained.
    pub(crate) fn broadcast_drains(&self) {
        let drains = self.driver.drains().clone();
        self.broadcast_to_edges(&LinkMessage::DomainDrains(drains));
    }

    /// The endpoints of a domain get work again, and may have gone cold without it.
    fn undrain_domain(&mut self, domain: &str, now: ClockTime) {
        for change in self.table.return_domain(domain, now) {
            self.enqueue_update(change);
        }
    }

    /// Tries waiting orders again and ends those whose operators have turned elsewhere.
    pub(crate) fn retry_drains(&mut self, now: ClockTime) {
        let waits = std::mem::take(&mut self.queued_drains);
        let is_due = |wait: &QueuedDrain| now.since(wait.attempted_at) >= DRAIN_RETRY_INTERVAL;
        let (due, waiting) = waits.into_iter().partition(|(_, wait)| is_due(wait));
        self.queued_drains = waiting;
        for wait in BTreeMap::into_values(due) {
            if now.since(wait.received_at) < CALL_TIMEOUT {
                self.attempt_drain(wait, now);
            } else {
                let reason = "no quorum has taken the order in time; send it again";
                answer_call(wait.reply, ControlReply::Unavailable { reason });
            }
        }
    }
}
