//! How a registry brings a configuration into the log: proposed_put here, or passed on to the leader.

use std::time::Duration;

use bytes::Bytes;
use ragwortroad_consensus::prelude::*;
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
    put_origin::PutOrigin,
    queued_put::QueuedPut,
    registry_state::RegistryState, //
};

/// Bytes of a compressed configuration for which its sender waits a millisecond longer.
///
/// The pace of a small link with a few copies under way; operators wait longer for large bodies.
const UPLOAD_BYTES_PER_MILLISECOND: u64 = 100;

impl RegistryState {
    pub(crate) fn handle_put_config(
        &mut self,
        version: u64,
        document: &Bytes,
        reply: oneshot::Sender<ControlReply>,
        now: ClockTime,
    ) {
        if self.driver.register().supersedes(version) {
            tracing::info!(version, "a configuration that changes nothing any more");
            answer_call(reply, ControlReply::Done);
            return;
        }
        match pack_document(document, None) {
            Ok(packed) => {
                let base = None;
                let step = ConfigDelta {
                    version,
                    base,
                    packed,
                };
                tracing::info!(
                    version,
                    bytes = document.len(),
                    packed = step.packed.len(),
                    leads = self.driver.core().is_some_and(ConsensusCore::is_leader),
                    "a configuration came"
                );
                self.enqueue_put(step, PutOrigin::Operator(reply), now);
            }
            Err(error) => {
                tracing::error!(%error, "a configuration could not be packed");
                let reason = "the configuration could not be packed";
                answer_call(reply, ControlReply::Unavailable { reason });
            }
        }
    }

    pub(crate) fn enqueue_put(&mut self, step: ConfigDelta, origin: PutOrigin, now: ClockTime) {
        let token = self.new_token();
        let size = Duration::from_millis(step.packed.len() as u64 / UPLOAD_BYTES_PER_MILLISECOND);
        let wait = QueuedPut {
            step,
            origin,
            deadline: now.after(CALL_TIMEOUT + size),
            attempted_at: None,
        };
        if self.queued_puts.len() >= MAX_QUEUED_CALLS {
            self.reply_put(wait, PutOutcome::NotTaken);
            return;
        }
        self.queued_puts.insert(token, wait);
        self.attempt_put(token, now);
    }

    /// Proposes a configuration here, or passes it on to the leader.
    fn attempt_put(&mut self, token: u64, now: ClockTime) {
        let Some(wait) = self.queued_puts.get(&token) else {
            return;
        };
        let Some(core) = self.driver.core() else {
            return;
        };
        if core.is_leader() {
            self.propose_next(now);
            return;
        }
        // What was passed on once is not passed on further: two registries that each take the
        // other for the leader would send it back and forth.
        if !matches!(wait.origin, PutOrigin::Operator(_)) {
            self.finish_put(token, PutOutcome::NotTaken, now);
            return;
        }
        let step = wait.step.clone();
        let queue = core.leader().and_then(|leader| self.member_queue(leader));
        let sent = queue.is_some_and(|queue| queue.send(&LinkMessage::ForwardPut { token, step }));
        if let Some(wait) = self.queued_puts.get_mut(&token) {
            wait.attempted_at = sent.then_some(now);
        }
    }

    /// Proposes the waiting configuration with the highest version, unless one is under way.
    ///
    /// Each is compressed against the one in force, so only one can be under way; those below it
    /// need no entry of their own once it is in force.
    fn propose_next(&mut self, now: ClockTime) {
        if self.proposed_put.is_some() {
            return;
        }
        let waiting = self.queued_puts.iter();
        let Some((&token, wait)) = waiting.max_by_key(|(_, wait)| wait.step.version) else {
            return;
        };
        let register = self.driver.register();
        let opened = wait.step.open(None);
        let step = opened.and_then(|document| register.delta_to(wait.step.version, &document));
        let command = match step {
            Ok(step) => postcard::to_stdvec(&RegisterCommand::Put(step)),
            Err(error) => {
                tracing::error!(%error, "a configuration could not be packed");
                self.finish_put(token, PutOutcome::NotTaken, now);
                return;
            }
        };
        let command = match command {
            Ok(command) => command,
            Err(error) => {
                tracing::error!(%error, "a configuration could not be encoded");
                self.finish_put(token, PutOutcome::NotTaken, now);
                return;
            }
        };
        if let Some(wait) = self.queued_puts.get_mut(&token) {
            wait.attempted_at = Some(now);
        }
        self.proposed_put = Some(token);
        let effects = self
            .driver
            .handle(CoreInput::Propose { token, command }, now);
        self.apply_effects(effects, now);
    }

    pub(crate) fn handle_decision(&mut self, token: u64, result: ProposeResult, now: ClockTime) {
        if self.proposed_put != Some(token) {
            // A change of seats; the plan tries it again where it is still wanted.
            return;
        }
        self.proposed_put = None;
        let outcome = match result {
            ProposeResult::Committed { .. } => PutOutcome::Committed,
            ProposeResult::Unknown => PutOutcome::Unknown,
            ProposeResult::NotLeader { .. }
            | ProposeResult::Busy
            | ProposeResult::TooLarge
            | ProposeResult::Refused(_) => PutOutcome::NotTaken,
        };
        if result == ProposeResult::TooLarge {
            tracing::error!("a configuration is larger than the log takes");
        }
        let wait = self.queued_puts.get(&token);
        let version = wait.map(|wait| wait.step.version);
        let supersedes = version.is_some_and(|version| self.driver.register().supersedes(version));
        match outcome == PutOutcome::Committed && !supersedes {
            // It was made against a configuration that was replaced meanwhile.
            true => self.finish_put(token, PutOutcome::NotTaken, now),
            false => self.finish_put(token, outcome, now),
        }
        self.finish_superseded(now);
        if self.driver.core().is_some_and(ConsensusCore::is_leader) {
            self.propose_next(now);
        }
    }

    pub(crate) fn finish_put(&mut self, token: u64, outcome: PutOutcome, now: ClockTime) {
        let Some(mut wait) = self.queued_puts.remove(&token) else {
            return;
        };
        let is_final = outcome == PutOutcome::Committed;
        let is_from_operator = matches!(wait.origin, PutOrigin::Operator(_));
        if is_from_operator && !is_final && now < wait.deadline {
            // The same configuration twice changes nothing, so it is tried again in time.
            wait.attempted_at = None;
            self.queued_puts.insert(token, wait);
            return;
        }
        self.reply_put(wait, outcome);
    }

    /// Answers the waiting configurations that the one in force has overtaken.
    fn finish_superseded(&mut self, now: ClockTime) {
        let register = self.driver.register();
        let queued_puts = self.queued_puts.iter();
        let superseded = queued_puts.filter(|(_, wait)| register.supersedes(wait.step.version));
        let tokens: Vec<u64> = superseded.map(|(token, _)| *token).collect();
        for token in tokens {
            self.finish_put(token, PutOutcome::Committed, now);
        }
    }

    fn reply_put(&self, wait: QueuedPut, outcome: PutOutcome) {
        let version = wait.step.version;
        match wait.origin {
            PutOrigin::Operator(reply) => {
                tracing::info!(version, ?outcome, "a configuration was decided");
                answer_call(
                    reply,
                    match outcome {
                        PutOutcome::Committed => ControlReply::Done,
                        PutOutcome::Unknown | PutOutcome::NotTaken => ControlReply::Unavailable {
                            reason: "no quorum has taken the configuration in time",
                        },
                    },
                );
            }
            PutOrigin::Forwarded { link, token } => {
                if let Some(queue) = self.links.get(&link) {
                    queue.send(&LinkMessage::ForwardDone { token, outcome });
                }
            }
        }
    }

    /// Tries waiting configurations again and ends those that have waited for too long.
    pub(crate) fn retry_puts(&mut self, now: ClockTime) {
        self.finish_superseded(now);
        let leads = self.driver.core().is_some_and(ConsensusCore::is_leader);
        if !leads {
            // The core that would have told is gone or has stepped down.
            self.proposed_put = None;
        }
        let tokens: Vec<u64> = self.queued_puts.keys().copied().collect();
        for token in tokens {
            let Some(wait) = self.queued_puts.get(&token) else {
                continue;
            };
            if now >= wait.deadline {
                if let Some(wait) = self.queued_puts.remove(&token) {
                    self.reply_put(wait, PutOutcome::Unknown);
                }
            } else if wait.attempted_at.is_none() {
                self.attempt_put(token, now);
            }
        }
    }

    /// A connection to another registry has ended: what was passed on there is passed on again.
    pub(crate) fn retry_forwarded_puts(&mut self) {
        for wait in self.queued_puts.values_mut() {
            if matches!(wait.origin, PutOrigin::Operator(_)) {
                wait.attempted_at = None;
            }
        }
    }
}
