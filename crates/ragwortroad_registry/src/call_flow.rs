//! What a registry does with calls of operators, endpoints and callers.

use std::time::Duration;

use bytes::Bytes;
use ragwortroad_consensus::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_types::prelude::*;
use tokio::sync::oneshot;

use crate::{
    ControlCall,
    ControlReply,
    RegisterCommand,
    registry_event::LinkKey,
    registry_state::RegistryState, //
};

/// Time after which a call is answered that it cannot be done here now.
///
/// Operators turn to another registry after a second without an answer; an answer before that lets
/// them do so with a reason.
const CALL_PATIENCE: Duration = Duration::from_millis(900);

/// Time after which a question that was passed on is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(300);

/// Calls that wait at once; beyond it a call is refused, so that memory stays bounded.
const MAX_WAITING: usize = 256;

/// Who wants a configuration put.
#[derive(Debug)]
pub(crate) enum PutOrigin {
    /// An operator.
    Operator(oneshot::Sender<ControlReply>),
    /// Another registry, on its connection to here.
    Forwarded { link: LinkKey, token: u64 },
}

/// A configuration on its way into the log.
#[derive(Debug)]
pub(crate) struct PutWait {
    /// Its version, where it was read here.
    version: Option<u64>,
    command: Vec<u8>,
    origin: PutOrigin,
    came_at: ClockTime,
    /// When it was proposed or passed on last; nothing if it has to be done again.
    tried_at: Option<ClockTime>,
}

/// Who wants a proof that a read is current.
#[derive(Debug)]
pub(crate) enum ReadOrigin {
    /// An operator.
    Operator(oneshot::Sender<ControlReply>),
    /// Another registry, on its connection to here.
    Asked { link: LinkKey, token: u64 },
}

/// A read that is not proved yet.
#[derive(Debug)]
pub(crate) struct ReadWait {
    origin: ReadOrigin,
    came_at: ClockTime,
    tried_at: Option<ClockTime>,
}

/// A read that waits for the state to be applied up to an index.
#[derive(Debug)]
pub(crate) struct ReadSettle {
    index: u64,
    reply: oneshot::Sender<ControlReply>,
    came_at: ClockTime,
}

impl RegistryState {
    pub(crate) fn take_call(
        &mut self,
        call: ControlCall,
        reply: oneshot::Sender<ControlReply>,
        now: ClockTime,
    ) {
        let answer = match call {
            ControlCall::PutConfig { version, document } => {
                self.take_document(version, &document, reply, now);
                return;
            }
            ControlCall::ReadConfig => {
                self.take_read(ReadOrigin::Operator(reply), now);
                return;
            }
            ControlCall::BadConfig(fault) => {
                tracing::info!(%fault, "a configuration was refused");
                ControlReply::Invalid {
                    reason: fault.to_string(),
                }
            }
            ControlCall::Announce(record) => self.take_announcement(*record, now),
            ControlCall::BadAnnouncement { reason } => {
                tracing::warn!(reason, "an announcement was refused");
                ControlReply::Invalid { reason }
            }
            ControlCall::Goodbye { name } => self.take_goodbye(&name, now),
            ControlCall::FindEdges => self.find_edges(now),
            ControlCall::Unknown => ControlReply::NotFound,
        };
        answer_call(reply, answer);
    }

    fn take_document(
        &mut self,
        version: u64,
        document: &Bytes,
        reply: oneshot::Sender<ControlReply>,
        now: ClockTime,
    ) {
        if self.seat.register().covers(version) {
            tracing::info!(version, "a configuration that changes nothing any more");
            answer_call(reply, ControlReply::Done);
            return;
        }
        let packed = pack_document(document).map_err(|error| error.to_string());
        let command = packed.and_then(|packed| {
            let command = RegisterCommand::Put { version, packed };
            postcard::to_stdvec(&command).map_err(|error| error.to_string())
        });
        match command {
            Ok(command) => {
                self.take_put(Some(version), command, PutOrigin::Operator(reply), now);
            }
            Err(reason) => {
                tracing::error!(reason, "a configuration could not be encoded");
                let reason = "the configuration could not be encoded";
                answer_call(reply, ControlReply::Unavailable { reason });
            }
        }
    }

    pub(crate) fn take_put(
        &mut self,
        version: Option<u64>,
        command: Vec<u8>,
        origin: PutOrigin,
        now: ClockTime,
    ) {
        let token = self.draw_token();
        let wait = PutWait {
            version,
            command,
            origin,
            came_at: now,
            tried_at: None,
        };
        if self.puts.len() >= MAX_WAITING {
            self.end_put(wait, PutOutcome::NotTaken);
            return;
        }
        self.puts.insert(token, wait);
        self.try_put(token, now);
    }

    /// Proposes a configuration here, or passes it on to the leader.
    fn try_put(&mut self, token: u64, now: ClockTime) {
        let Some(wait) = self.puts.get_mut(&token) else {
            return;
        };
        let Some(core) = self.seat.core() else {
            return;
        };
        if core.is_leader() {
            wait.tried_at = Some(now);
            let command = wait.command.clone();
            let effects = self.seat.handle(CoreInput::Propose { token, command }, now);
            self.carry_out(effects, now);
            return;
        }
        // What was passed on once is not passed on further: two registries that each take the
        // other for the leader would send it back and forth.
        if !matches!(wait.origin, PutOrigin::Operator(_)) {
            self.finish_put(token, PutOutcome::NotTaken);
            return;
        }
        let command = wait.command.clone();
        let queue = core.leader().and_then(|leader| self.queue_of(leader));
        let sent =
            queue.is_some_and(|queue| queue.send(&LinkMessage::ForwardPut { token, command }));
        if let Some(wait) = self.puts.get_mut(&token) {
            wait.tried_at = sent.then_some(now);
        }
    }

    pub(crate) fn decide_put(&mut self, token: u64, result: ProposeResult, now: ClockTime) {
        let outcome = match result {
            ProposeResult::Committed { .. } => PutOutcome::Committed,
            ProposeResult::Unknown => PutOutcome::Unknown,
            ProposeResult::NotLeader { .. } | ProposeResult::Busy => PutOutcome::NotTaken,
            ProposeResult::TooLarge => {
                tracing::error!("a configuration is larger than the log takes");
                PutOutcome::NotTaken
            }
            ProposeResult::Refused(refusal) => {
                tracing::info!(%refusal, "a seat does not change yet");
                return;
            }
        };
        tracing::debug!(token, ?outcome, at = now.0, "a proposal was decided");
        self.finish_put(token, outcome);
    }

    pub(crate) fn finish_put(&mut self, token: u64, outcome: PutOutcome) {
        let Some(mut wait) = self.puts.remove(&token) else {
            return;
        };
        let is_final = outcome == PutOutcome::Committed;
        let is_ours = matches!(wait.origin, PutOrigin::Operator(_));
        if is_ours && !is_final {
            // The same command twice changes nothing, so it is tried again while there is time.
            wait.tried_at = None;
            self.puts.insert(token, wait);
            return;
        }
        self.end_put(wait, outcome);
    }

    fn end_put(&self, wait: PutWait, outcome: PutOutcome) {
        let version = wait.version;
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
        let Some(packed) = self.seat.register().packed() else {
            let reason = "no configuration has been accepted yet";
            return ControlReply::Unavailable { reason };
        };
        match unpack_document(&packed) {
            Ok(document) => ControlReply::Config(document.into()),
            Err(error) => {
                tracing::error!(%error, "the configuration in force cannot be unpacked");
                let reason = "the configuration cannot be read here";
                ControlReply::Unavailable { reason }
            }
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

    /// Tries waiting calls again and ends those that have waited for too long.
    pub(crate) fn retry_calls(&mut self, now: ClockTime) {
        let is_due = |tried: Option<ClockTime>| tried.is_none_or(|at| now.since(at) >= ASK_AGAIN);
        let covered = |wait: &PutWait| {
            let version = wait.version;
            version.is_some_and(|version| self.seat.register().covers(version))
        };
        let tokens: Vec<u64> = self.puts.keys().copied().collect();
        let done: Vec<u64> = self
            .puts
            .iter()
            .filter(|(_, wait)| covered(wait))
            .map(|(token, _)| *token)
            .collect();
        for token in done {
            self.finish_put(token, PutOutcome::Committed);
        }
        for token in tokens {
            let Some(wait) = self.puts.get(&token) else {
                continue;
            };
            if now.since(wait.came_at) >= CALL_PATIENCE {
                if let Some(wait) = self.puts.remove(&token) {
                    self.end_put(wait, PutOutcome::Unknown);
                }
            } else if is_due(wait.tried_at) && !self.is_proposed_here(token) {
                self.try_put(token, now);
            }
        }
        self.retry_reads(now, is_due);
        self.settle_reads(now);
    }

    /// Whether a proposal waits in this registry's own log; a second one would only add to it.
    fn is_proposed_here(&self, token: u64) -> bool {
        let leads = self.seat.core().is_some_and(ConsensusCore::is_leader);
        let wait = self.puts.get(&token);
        leads && wait.is_some_and(|wait| wait.tried_at.is_some())
    }

    fn retry_reads(&mut self, now: ClockTime, is_due: impl Fn(Option<ClockTime>) -> bool) {
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

/// Answers a call, unless its caller has left.
fn answer_call(reply: oneshot::Sender<ControlReply>, answer: ControlReply) {
    if reply.send(answer).is_err() {
        tracing::debug!("a caller of the control interface left before its answer");
    }
}
