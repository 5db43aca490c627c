//! Commits configurations to the log: proposed here, or forwarded to the leader.

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
        send_reply, //
    },
    put_origin::PutOrigin,
    queued_put::QueuedPut,
    registry_state::RegistryState, //
};

/// Size in bytes of a compressed configuration that extends its deadline by one millisecond.
///
/// It is the throughput of a small link that carries a few copies. Operators wait longer for large
/// bodies.
const UPLOAD_BYTES_PER_MILLISECOND: u64 = 100;

/// Maximum size of a command of the log in bytes, which holds one compressed configuration.
pub(crate) const MAX_COMMAND_BYTES: usize = 900 << 10;

/// Why nothing is acknowledged yet, although there may be a leader.
pub(crate) const TOO_FEW_VOTERS: &str = "too few registries vote, as known here, to keep this through \
     the disk losses that are tolerated; send it again";

/// Size in bytes of what a message carries beside a configuration, at most.
const MESSAGE_OVERHEAD_BYTES: usize = 256;

impl RegistryState {
    pub(crate) fn handle_put_config(
        &mut self,
        version: u64,
        document: &Bytes,
        reply: oneshot::Sender<ControlReply>,
        now: ClockTime,
    ) {
        if self.driver.register().supersedes(version) && self.bears_losses() {
            tracing::info!(
                version,
                "ignored a configuration that is already superseded"
            );
            send_reply(reply, ControlReply::Done);
            return;
        }
        match pack_document(document, None) {
            Ok(packed) if packed.len() > max_packed_bytes() => {
                tracing::warn!(
                    version,
                    packed = packed.len(),
                    "refused a configuration that no link carries"
                );
                send_reply(reply, too_large_reply(max_packed_bytes()));
            }
            Ok(packed) => {
                let base = None;
                let delta = ConfigDelta {
                    version,
                    base,
                    packed,
                };
                tracing::info!(
                    version,
                    bytes = document.len(),
                    packed = delta.packed.len(),
                    leads = self.driver.core().is_some_and(ConsensusCore::is_leader),
                    "received a configuration"
                );
                self.enqueue_put(delta, PutOrigin::Operator(reply), now);
            }
            Err(error) => {
                tracing::error!(%error, "failed to compress a configuration");
                let reason = "the configuration could not be packed";
                send_reply(reply, ControlReply::Unavailable { reason });
            }
        }
    }

    pub(crate) fn enqueue_put(&mut self, delta: ConfigDelta, origin: PutOrigin, now: ClockTime) {
        let token = self.new_token();
        let size = Duration::from_millis(delta.packed.len() as u64 / UPLOAD_BYTES_PER_MILLISECOND);
        let put = QueuedPut {
            delta,
            origin,
            deadline: now.after(CALL_TIMEOUT + size),
            attempted_at: None,
        };
        if self.queued_puts.len() >= MAX_QUEUED_CALLS {
            self.reply_put(put, PutOutcome::NotTaken, now);
            return;
        }
        self.queued_puts.insert(token, put);
        self.attempt_put(token, now);
    }

    /// Proposes a configuration if this registry leads, or else forwards it to the leader.
    fn attempt_put(&mut self, token: u64, now: ClockTime) {
        let Some(put) = self.queued_puts.get(&token) else {
            return;
        };
        let Some(core) = self.driver.core() else {
            return;
        };
        if core.is_leader() {
            self.propose_next(now);
            return;
        }
        // A forwarded configuration is not forwarded again: two registries that each take the other
        // for the leader would send it back and forth.
        if !matches!(put.origin, PutOrigin::Operator(_)) {
            self.finish_put(token, PutOutcome::NotTaken, now);
            return;
        }
        let step = put.delta.clone();
        let queue = core.leader().and_then(|leader| self.member_queue(leader));
        let sent = queue.is_some_and(|queue| queue.send(&LinkMessage::ForwardPut { token, step }));
        if let Some(put) = self.queued_puts.get_mut(&token) {
            put.attempted_at = sent.then_some(now);
        }
    }

    /// Proposes the queued configuration with the highest version, unless a proposal is in flight or
    /// the group would not keep it through the losses that the settings tolerate.
    ///
    /// Each proposal is compressed against the configuration in force, so only one can be in
    /// flight. Queued configurations with lower versions need no entry of their own once it is in
    /// force.
    fn propose_next(&mut self, now: ClockTime) {
        if self.proposed_put.is_some() || !self.bears_losses() {
            return;
        }
        let queued = self.queued_puts.iter();
        let Some((&token, put)) = queued.max_by_key(|(_, put)| put.delta.version) else {
            return;
        };
        let register = self.driver.register();
        let opened = put.delta.unpack(None);
        let delta = opened.and_then(|document| register.delta_to(put.delta.version, &document));
        let command = match delta {
            Ok(delta) => postcard::to_stdvec(&RegisterCommand::Put(delta)),
            Err(error) => {
                tracing::error!(%error, "failed to compress a configuration");
                self.finish_put(token, PutOutcome::NotTaken, now);
                return;
            }
        };
        let command = match command {
            Ok(command) => command,
            Err(error) => {
                tracing::error!(%error, "failed to encode a configuration");
                self.finish_put(token, PutOutcome::NotTaken, now);
                return;
            }
        };
        if let Some(put) = self.queued_puts.get_mut(&token) {
            put.attempted_at = Some(now);
        }
        self.proposed_put = Some(token);
        let effects = self
            .driver
            .handle(CoreInput::Propose { token, command }, now);
        self.apply_effects(effects, now);
    }

    pub(crate) fn handle_decision(&mut self, token: u64, result: ProposeResult, now: ClockTime) {
        if self.proposed_put != Some(token) {
            // The token belongs to a voter change, which the voter plan retries if it is still
            // needed.
            return;
        }
        self.proposed_put = None;
        let outcome = match result {
            ProposeResult::Committed { .. } => PutOutcome::Committed,
            ProposeResult::Unknown => PutOutcome::Unknown,
            ProposeResult::TooLarge => PutOutcome::TooLarge,
            ProposeResult::NotLeader { .. } | ProposeResult::Busy | ProposeResult::Refused(_) => {
                PutOutcome::NotTaken
            }
        };
        let put = self.queued_puts.get(&token);
        let version = put.map(|put| put.delta.version);
        if result == ProposeResult::TooLarge {
            tracing::warn!(
                version,
                "configuration exceeds the size limit of a log command"
            );
        }
        let supersedes = version.is_some_and(|version| self.driver.register().supersedes(version));
        if outcome == PutOutcome::Committed && !supersedes {
            // The configuration that the proposal was compressed against was replaced in the
            // meantime.
            self.finish_put(token, PutOutcome::NotTaken, now);
        } else if outcome != PutOutcome::Committed || self.bears_losses() {
            self.finish_put(token, outcome, now);
        }
        self.finish_superseded(now);
        // The proposal may have been decided within the call that made it, so the next one is left
        // to the next tick. One that was not accepted is retried with the other calls.
        self.is_proposal_due |= is_final(outcome);
    }

    /// Proposes the next configuration if the previous one was decided.
    pub(crate) fn propose_due(&mut self, now: ClockTime) {
        let is_due = std::mem::take(&mut self.is_proposal_due);
        if is_due {
            self.finish_superseded(now);
        }
        if is_due && self.driver.core().is_some_and(ConsensusCore::is_leader) {
            self.propose_next(now);
        }
    }

    pub(crate) fn finish_put(&mut self, token: u64, outcome: PutOutcome, now: ClockTime) {
        let Some(mut put) = self.queued_puts.remove(&token) else {
            return;
        };
        let is_from_operator = matches!(put.origin, PutOrigin::Operator(_));
        if is_from_operator && !is_final(outcome) && now < put.deadline {
            // Putting a configuration is idempotent, so it is retried until its deadline.
            put.attempted_at = None;
            self.queued_puts.insert(token, put);
            return;
        }
        self.reply_put(put, outcome, now);
    }

    /// Replies to queued configurations that the configuration in force supersedes, once it outlasts
    /// the losses that the settings tolerate.
    fn finish_superseded(&mut self, now: ClockTime) {
        if !self.bears_losses() {
            return;
        }
        let register = self.driver.register();
        let queued_puts = self.queued_puts.iter();
        let superseded = queued_puts.filter(|(_, put)| register.supersedes(put.delta.version));
        let tokens: Vec<u64> = superseded.map(|(token, _)| *token).collect();
        for token in tokens {
            self.finish_put(token, PutOutcome::Committed, now);
        }
    }

    fn reply_put(&self, put: QueuedPut, outcome: PutOutcome, now: ClockTime) {
        let version = put.delta.version;
        match put.origin {
            PutOrigin::Operator(reply) => {
                let status = self.group_status(now);
                tracing::info!(
                    version,
                    ?outcome,
                    voters = status.voters,
                    heard_voters = status.heard_voters,
                    needed_voters = status.needed_voters,
                    "replied to a configuration"
                );
                send_reply(
                    reply,
                    match outcome {
                        PutOutcome::Committed => ControlReply::Done,
                        PutOutcome::TooLarge => too_large_reply(MAX_COMMAND_BYTES),
                        PutOutcome::Unknown | PutOutcome::NotTaken => ControlReply::Unavailable {
                            reason: match self.has_too_few_voters() {
                                true => TOO_FEW_VOTERS,
                                false => "no quorum has taken the configuration in time",
                            },
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

    /// Retries queued configurations and ends those that have exceeded their deadline.
    pub(crate) fn retry_puts(&mut self, now: ClockTime) {
        self.finish_superseded(now);
        let leads = self.driver.core().is_some_and(ConsensusCore::is_leader);
        if !leads {
            // The core that would have reported the result has failed or stepped down.
            self.proposed_put = None;
        }
        let tokens: Vec<u64> = self.queued_puts.keys().copied().collect();
        for token in tokens {
            let Some(put) = self.queued_puts.get(&token) else {
                continue;
            };
            if now >= put.deadline {
                if let Some(put) = self.queued_puts.remove(&token) {
                    self.reply_put(put, PutOutcome::Unknown, now);
                }
            } else if put.attempted_at.is_none() && !leads {
                self.attempt_put(token, now);
            }
        }
        if leads {
            self.propose_next(now);
        }
    }

    /// Marks forwarded configurations for another attempt after a link to a registry was lost.
    pub(crate) fn retry_forwarded_puts(&mut self) {
        for put in self.queued_puts.values_mut() {
            if matches!(put.origin, PutOrigin::Operator(_)) {
                put.attempted_at = None;
            }
        }
    }
}

/// Whether another attempt would have the same outcome.
fn is_final(outcome: PutOutcome) -> bool {
    match outcome {
        PutOutcome::Committed | PutOutcome::TooLarge => true,
        PutOutcome::Unknown | PutOutcome::NotTaken => false,
    }
}

/// Size in bytes up to which a compressed configuration fits into a message, to the leader or to an
/// edge.
fn max_packed_bytes() -> usize {
    LinkSettings::default().max_message_bytes - MESSAGE_OVERHEAD_BYTES
}

fn too_large_reply(limit_bytes: usize) -> ControlReply {
    ControlReply::TooLarge {
        reason: "the compressed configuration is too large; remove keys or routes",
        limit_bytes,
    }
}
