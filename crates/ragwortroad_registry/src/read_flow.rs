//! Serves linearizable reads of the configuration.

use std::time::Duration;

use ragwortroad_consensus::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    ControlReply,
    call_flow::{
        CALL_TIMEOUT,
        MAX_QUEUED_CALLS,
        send_reply, //
    },
    indexed_read::IndexedRead,
    queued_read::QueuedRead,
    read_origin::ReadOrigin,
    registry_state::RegistryState, //
};

/// Time after which a read index is requested from the leader again.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(300);

impl RegistryState {
    pub(crate) fn enqueue_read(&mut self, origin: ReadOrigin, now: ClockTime) {
        let token = self.new_token();
        let read = QueuedRead {
            origin,
            received_at: now,
            attempted_at: None,
        };
        if self.queued_reads.len() >= MAX_QUEUED_CALLS {
            self.refuse_read(read, now);
            return;
        }
        self.queued_reads.insert(token, read);
        self.attempt_read(token, now);
    }

    /// Requests a read index from the local core if it leads, or else from the leader.
    fn attempt_read(&mut self, token: u64, now: ClockTime) {
        let Some(read) = self.queued_reads.get_mut(&token) else {
            return;
        };
        let Some(core) = self.driver.core() else {
            return;
        };
        if core.is_leader() {
            read.attempted_at = Some(now);
            let effects = self.driver.handle(CoreInput::ReadRequest { token }, now);
            self.apply_effects(effects, now);
            return;
        }
        if matches!(read.origin, ReadOrigin::Asked { .. }) {
            self.index_read(token, None, now);
            return;
        }
        let queue = core.leader().and_then(|leader| self.member_queue(leader));
        let sent = queue.is_some_and(|queue| queue.send(&LinkMessage::ReadAsk { token }));
        if let Some(read) = self.queued_reads.get_mut(&token) {
            read.attempted_at = sent.then_some(now);
        }
    }

    /// Handles the result of a read index request; `None` if no index could be confirmed.
    pub(crate) fn index_read(&mut self, token: u64, index: Option<u64>, now: ClockTime) {
        let Some(mut read) = self.queued_reads.remove(&token) else {
            return;
        };
        match (read.origin, index) {
            (ReadOrigin::Asked { link, token }, index) => {
                if let Some(queue) = self.links.get(&link) {
                    queue.send(&LinkMessage::ReadDone { token, index });
                }
            }
            (ReadOrigin::Operator(reply), Some(index)) => self.indexed_reads.push(IndexedRead {
                index,
                reply,
                received_at: read.received_at,
            }),
            (ReadOrigin::Drain { order }, Some(index)) => self.read_drain(order, index),
            (origin @ (ReadOrigin::Operator(_) | ReadOrigin::Drain { .. }), None) => {
                read.origin = origin;
                read.attempted_at = None;
                self.queued_reads.insert(token, read);
            }
        }
        tracing::debug!(token, ?index, at = now.0, "read index request finished");
    }

    /// Replies to the reads whose read index has been applied.
    pub(crate) fn reply_to_applied_reads(&mut self, now: ClockTime) {
        self.finish_drains_in_force();
        if self.indexed_reads.is_empty() {
            return;
        }
        let applied = self.driver.applied();
        for read in std::mem::take(&mut self.indexed_reads) {
            if read.index <= applied {
                let version = self.driver.register().version();
                tracing::info!(
                    version,
                    index = read.index,
                    applied,
                    "replied to a configuration read"
                );
                send_reply(read.reply, self.config_reply());
            } else if now.since(read.received_at) < CALL_TIMEOUT {
                self.indexed_reads.push(read);
            } else {
                let status = self.group_status(now);
                tracing::warn!(
                    index = read.index,
                    ?status,
                    "refused a read of the configuration: its index is not applied here"
                );
                let reason = "this registry is behind; ask another";
                send_reply(read.reply, ControlReply::Unavailable { reason });
            }
        }
    }

    fn config_reply(&self) -> ControlReply {
        match self.driver.register().document() {
            Some(document) => ControlReply::Config(document.as_ref().clone().into()),
            None => ControlReply::Unavailable {
                reason: "no configuration has been accepted yet",
            },
        }
    }

    fn refuse_read(&self, read: QueuedRead, now: ClockTime) {
        match read.origin {
            ReadOrigin::Operator(reply) => {
                let reason = "it is not certain here which configuration is the newest";
                let waited_ms = now.since(read.received_at).as_millis() as u64;
                let status = self.group_status(now);
                tracing::warn!(
                    waited_ms,
                    version = self.driver.register().version(),
                    obstacle = status.obstacle(),
                    ?status,
                    "refused a read of the configuration"
                );
                send_reply(reply, ControlReply::Unavailable { reason });
            }
            ReadOrigin::Asked { link, token } => {
                if let Some(queue) = self.links.get(&link) {
                    queue.send(&LinkMessage::ReadDone { token, index: None });
                }
            }
            // Its operator is told that the order was not taken in time.
            ReadOrigin::Drain { .. } => {}
        }
    }

    pub(crate) fn retry_reads(&mut self, now: ClockTime) {
        let is_due =
            |tried: Option<ClockTime>| tried.is_none_or(|at| now.since(at) >= READ_RETRY_INTERVAL);
        let tokens: Vec<u64> = self.queued_reads.keys().copied().collect();
        for token in tokens {
            let Some(read) = self.queued_reads.get(&token) else {
                continue;
            };
            if now.since(read.received_at) >= CALL_TIMEOUT {
                if let Some(read) = self.queued_reads.remove(&token) {
                    self.refuse_read(read, now);
                }
            } else if is_due(read.attempted_at) {
                self.attempt_read(token, now);
            }
        }
    }
}
