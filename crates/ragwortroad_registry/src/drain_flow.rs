//! Handles orders to drain or undrain a failure domain.
//!
//! An order is a command of the replicated log. The registry that receives it proposes it or
//! forwards it to the leader, and replies once the command is applied locally. It is then durable
//! on a quorum.

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
        send_reply, //
    },
    put_flow::TOO_FEW_VOTERS,
    queued_drain::QueuedDrain,
    read_origin::ReadOrigin,
    registry_state::RegistryState, //
};

/// Time after which an order that was not applied is proposed or forwarded again.
///
/// Orders are idempotent, so applying one twice is harmless.
const DRAIN_RETRY_INTERVAL: Duration = Duration::from_millis(250);

impl RegistryState {
    /// Handles an operator's request to drain or undrain a domain.
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
            send_reply(reply, ControlReply::Invalid { reason });
            return;
        }
        if self.queued_drains.len() >= MAX_QUEUED_CALLS {
            let reason = "too many orders wait here; try another registry";
            send_reply(reply, ControlReply::Unavailable { reason });
            return;
        }
        tracing::info!(domain, is_drained, "received a drain order");
        let order = DrainOrder {
            id: rand::random(),
            domain,
            is_drained,
            seen: 0,
        };
        let drain = QueuedDrain {
            order,
            reply,
            received_at: now,
            attempted_at: Some(now),
            is_read: false,
            read_index: None,
        };
        let id = drain.order.id;
        self.attempt_drain(drain, now);
        self.check_drain(id, now);
    }

    /// Asks whether an order that the state here already has is in force.
    ///
    /// An order may take longer to commit than its operator waits. One that is sent again would wait
    /// as long for an entry of its own.
    fn check_drain(&mut self, id: u64, now: ClockTime) {
        let drains = self.driver.drains();
        let Some(drain) = self.queued_drains.get_mut(&id) else {
            return;
        };
        let is_known = drains.is_drained(&drain.order.domain) == drain.order.is_drained;
        if is_known && !drain.is_read {
            drain.is_read = true;
            self.enqueue_read(ReadOrigin::Drain { order: id }, now);
        }
    }

    /// Records the read index by which an order is checked.
    pub(crate) fn read_drain(&mut self, id: u64, index: u64) {
        if let Some(drain) = self.queued_drains.get_mut(&id) {
            drain.read_index = Some(index);
        }
    }

    /// Replies to orders that were in force when they were checked, once that outlasts the losses that
    /// the settings tolerate.
    pub(crate) fn finish_drains_in_force(&mut self) {
        if self.queued_drains.is_empty() || !self.bears_losses() {
            return;
        }
        let (applied, drains) = (self.driver.applied(), self.driver.drains());
        let is_checked =
            |drain: &QueuedDrain| drain.read_index.is_some_and(|index| index <= applied);
        let checked = self.queued_drains.iter();
        let checked = checked.filter(|(_, drain)| is_checked(drain));
        let checked = checked.map(|(id, drain)| {
            let is_drained = drains.is_drained(&drain.order.domain);
            (*id, is_drained == drain.order.is_drained)
        });
        let checked: Vec<(u64, bool)> = checked.collect();
        for (id, is_in_force) in checked {
            if is_in_force && let Some(drain) = self.queued_drains.remove(&id) {
                send_reply(drain.reply, ControlReply::Done);
            } else if let Some(drain) = self.queued_drains.get_mut(&id) {
                drain.is_read = false;
                drain.read_index = None;
            }
        }
    }

    /// Proposes an order or forwards it to the leader, stamped with the drain revision known here.
    fn attempt_drain(&mut self, mut drain: QueuedDrain, now: ClockTime) {
        drain.order.seen = self.driver.drains().revision();
        drain.attempted_at = Some(now);
        let order = drain.order.clone();
        self.queued_drains.insert(order.id, drain);
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

    /// Proposes an order to the log. It has no effect unless this registry leads a group that bears
    /// the losses that the settings tolerate.
    pub(crate) fn propose_drain(&mut self, order: DrainOrder, now: ClockTime) {
        if !self.bears_losses() {
            return;
        }
        let command = match postcard::to_stdvec(&RegisterCommand::Drain(order)) {
            Ok(command) => command,
            Err(error) => {
                tracing::error!(%error, "failed to encode a drain order");
                return;
            }
        };
        let token = self.new_token();
        let effects = self
            .driver
            .handle(CoreInput::Propose { token, command }, now);
        self.apply_effects(effects, now);
    }

    /// Handles an order that was applied to the local state.
    pub(crate) fn handle_drain_applied(
        &mut self,
        order: &DrainOrder,
        outcome: DrainOutcome,
        now: ClockTime,
    ) {
        let DrainOrder {
            domain, is_drained, ..
        } = order;
        tracing::info!(domain, is_drained, ?outcome, "applied a drain order");
        if outcome == DrainOutcome::Changed {
            self.broadcast_drains();
            if !is_drained {
                self.undrain_domain(domain, now);
            }
        }
        let bears_losses = self.bears_losses();
        let Some(drain) = self.queued_drains.remove(&order.id) else {
            return;
        };
        match outcome {
            // The order takes effect when it is applied, and is proposed again until the operator can
            // be told that it lasts.
            _ if !bears_losses => {
                let attempted_at = None;
                let drain = QueuedDrain {
                    attempted_at,
                    ..drain
                };
                self.queued_drains.insert(drain.order.id, drain);
            }
            DrainOutcome::Changed | DrainOutcome::Unchanged => {
                send_reply(drain.reply, ControlReply::Done);
            }
            // The operator is still waiting, so this order is more recent than the conflicting one. It
            // is sent again with the next round of retries, since this call is part of an attempt.
            DrainOutcome::Overtaken => {
                let order = DrainOrder {
                    id: rand::random(),
                    ..drain.order
                };
                let drain = QueuedDrain {
                    order,
                    attempted_at: None,
                    is_read: false,
                    read_index: None,
                    ..drain
                };
                self.queued_drains.insert(drain.order.id, drain);
            }
        }
    }

    /// Sends the drained domains to all edges.
    pub(crate) fn broadcast_drains(&self) {
        let drains = self.driver.drains().clone();
        self.broadcast_to_edges(&LinkMessage::DomainDrains(drains));
    }

    /// Makes the endpoints of an undrained domain available again. They may have gone cold while
    /// drained.
    fn undrain_domain(&mut self, domain: &str, now: ClockTime) {
        for change in self.table.undrain_domain(domain, now) {
            self.enqueue_update(change);
        }
    }

    /// Retries queued orders and ends those whose operators have switched to another registry.
    pub(crate) fn retry_drains(&mut self, now: ClockTime) {
        let queued: Vec<u64> = self.queued_drains.keys().copied().collect();
        for id in queued {
            self.check_drain(id, now);
        }
        let drains = std::mem::take(&mut self.queued_drains);
        let is_old = |attempted_at| now.since(attempted_at) >= DRAIN_RETRY_INTERVAL;
        let is_due = |drain: &QueuedDrain| drain.attempted_at.is_none_or(is_old);
        let (due, not_due) = drains.into_iter().partition(|(_, drain)| is_due(drain));
        self.queued_drains = not_due;
        for drain in BTreeMap::into_values(due) {
            if now.since(drain.received_at) < CALL_TIMEOUT {
                self.attempt_drain(drain, now);
            } else {
                let reason = match self.has_too_few_voters() {
                    true => TOO_FEW_VOTERS,
                    false => "no quorum has taken the order in time; send it again",
                };
                send_reply(drain.reply, ControlReply::Unavailable { reason });
            }
        }
    }
}
