//! What a registry does with calls of operators, endpoints and callers.

use std::{
    net::IpAddr,
    time::Duration, //
};

use ragwortroad_telemetry::prelude::*;
use ragwortroad_types::prelude::*;
use tokio::sync::oneshot;

use crate::{
    ControlCall,
    ControlReply,
    read_origin::ReadOrigin,
    registry_state::RegistryState, //
};

/// Time after which a call is answered that it cannot be done here now.
///
/// Operators turn to another registry after a second without an answer; an answer before that lets
/// them do so with a reason.
pub(crate) const CALL_PATIENCE: Duration = Duration::from_millis(900);

/// Calls that wait at once; beyond it a call is refused, so that memory stays bounded.
pub(crate) const MAX_WAITING: usize = 256;

impl RegistryState {
    pub(crate) fn take_call(
        &mut self,
        call: ControlCall,
        asker: IpAddr,
        reply: oneshot::Sender<ControlReply>,
        now: ClockTime,
    ) {
        let answer = match call {
            ControlCall::PutConfig { version, document } => {
                self.take_document(version, &document, reply, now);
                return;
            }
            ControlCall::DrainDomain { domain, is_drained } => {
                self.take_drain(domain, is_drained, reply, now);
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
            ControlCall::FindEdges => self.find_edges(asker, now),
            ControlCall::Unknown => ControlReply::NotFound,
        };
        answer_call(reply, answer);
    }

    /// Tries waiting calls again and ends those that have waited for too long.
    pub(crate) fn retry_calls(&mut self, now: ClockTime) {
        self.retry_puts(now);
        self.retry_drains(now);
        self.retry_reads(now);
        self.settle_reads(now);
    }
}

/// Answers a call, unless its caller has left.
pub(crate) fn answer_call(reply: oneshot::Sender<ControlReply>, answer: ControlReply) {
    metrics::counter!(metric_names::CONTROL_CALLS, "outcome" => answer.outcome()).increment(1);
    if reply.send(answer).is_err() {
        tracing::debug!("a caller of the control interface left before its answer");
    }
}
