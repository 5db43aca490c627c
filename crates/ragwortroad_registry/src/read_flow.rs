//! How a registry proves that a configuration which it is asked for is current.

use std::time::Duration;

use ragwortroad_consensus::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    ControlReply,
    call_flow::{
        CALL_PATIENCE,
        MAX_WAITING,
        answer_call, //
    },
    read_origin::ReadOrigin,
    read_settle::ReadSettle,
    read_wait::ReadWait,
    registry_state::RegistryState, //
};

/// Time after which a question that was passed on is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(300);

impl RegistryState {
    pub(crate) fn take_read(&mut self, origin: ReadOrigin, now: ClockTime) {
        let token = self.draw_token();
        let wait = ReadWait {
            origin,
            came_at: now,
            tried_at: None,
        };
        if self.reads.len() >= MAX_WAITING {
            self.refuse_read(wait);
            return;
        }
        self.reads.insert(token, wait);
        self.try_read(token, now);
    }

    /// Asks for a proof that the state is current, here or at the leader.
    fn try_read(&mut self, token: u64, now: ClockTime) {
        let Some(wait) = self.reads.get_mut(&token) else {
            return;
        };
        let Some(core) = self.seat.core() else {
            return;
        };
        if core.is_leader() {
            wait.tried_at = Some(now);
            let effects = self.seat.handle(CoreInput::ReadRequest { token }, now);
            self.carry_out(effects, now);
            return;
        }
        if !matches!(wait.origin, ReadOrigin::Operator(_)) {
            self.prove_read(token, None, now);
            return;
        }
        let queue = core.leader().and_then(|leader| self.queue_of(leader));
        let sent = queue.is_some_and(|queue| queue.send(&LinkMessage::ReadAsk { token }));
        if let Some(wait) = self.reads.get_mut(&token) {
            wait.tried_at = sent.then_some(now);
        }
    }

    /// Takes the index to which the state must be applied for a read, or that none can be told.
    pub(crate) fn prove_read(&mut self, token: u64, index: Option<u64>, now: ClockTime) {
        let Some(mut wait) = self.reads.remove(&token) else {
            return;
        };
        match (wait.origin, index) {
            (ReadOrigin::Asked { link, token }, index) => {
                if let Some(queue) = self.links.get(&link) {
                    queue.send(&LinkMessage::ReadDone { token, index });
                }
            }
            (ReadOrigin::Operator(reply), Some(index)) => self.settles.push(ReadSettle {
                index,
                reply,
                came_at: wait.came_at,
            }),
            (origin @ ReadOrigin::Operator(_), None) => {
                wait.origin = origin;
                wait.tried_at = None;
                self.reads.insert(token, wait);
            }
        }
        tracing::debug!(token, ?index, at = now.0, "a read was proved or not");
    }

    /// Answers the reads for which the state is applied far enough.
    pub(crate) fn settle_reads(&mut self, now: ClockTime) {
        if self.settles.is_empty() {
            return;
        }
        let applied = self.seat.applied();
        for settle in std::mem::take(&mut self.settles) {
            if settle.index <= applied {
                let version = self.seat.register().version();
                tracing::info!(version, index = settle.index, applied, "configuration read");
                answer_call(settle.reply, self.read_reply());
            } else if now.since(settle.came_at) < CALL_PATIENCE {
                self.settles.push(settle);
            } else {
                let reason = "this registry is behind; ask another";
                answer_call(settle.reply, ControlReply::Unavailable { reason });
            }
        }
    }

    fn read_reply(&self) -> ControlReply {
        match self.seat.register().document() {
            Some(document) => ControlReply::Config(document.as_ref().clone().into()),
            None => ControlReply::Unavailable {
                reason: "no configuration has been accepted yet",
            },
        }
    }

    fn refuse_read(&self, wait: ReadWait) {
        match wait.origin {
            ReadOrigin::Operator(reply) => {
                let reason = "it is not certain here which configuration is the newest";
                answer_call(reply, ControlReply::Unavailable { reason });
            }
            ReadOrigin::Asked { link, token } => {
                if let Some(queue) = self.links.get(&link) {
                    queue.send(&LinkMessage::ReadDone { token, index: None });
                }
            }
        }
    }

    pub(crate) fn retry_reads(&mut self, now: ClockTime) {
        let is_due = |tried: Option<ClockTime>| tried.is_none_or(|at| now.since(at) >= ASK_AGAIN);
        let tokens: Vec<u64> = self.reads.keys().copied().collect();
        for token in tokens {
            let Some(wait) = self.reads.get(&token) else {
                continue;
            };
            if now.since(wait.came_at) >= CALL_PATIENCE {
                if let Some(wait) = self.reads.remove(&token) {
                    self.refuse_read(wait);
                }
            } else if is_due(wait.tried_at) {
                self.try_read(token, now);
            }
        }
    }
}
