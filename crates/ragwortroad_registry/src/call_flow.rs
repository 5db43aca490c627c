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
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Calls that wait at once; beyond it a call is refused, so that memory stays bounded.
pub(crate) const MAX_QUEUED_CALLS: usize = 256;

impl RegistryState {
    pub(crate) fn handle_call(
        &mut self,
        call: ControlCall,
        client_ip: IpAddr,
        reply: oneshot::Sender<ControlReply>,
        now: ClockTime,
    ) {
        let answer = match call {
            ControlCall::PutConfig { version, document } => {
                self.handle_put_config(version, &document, reply, now);
                return;
            }
            ControlCall::DrainDomain { domain, is_drained } => {
                self.handle_drain_call(domain, is_drained, reply, now);
                return;
            }
            ControlCall::ReadConfig => {
                self.enqueue_read(ReadOrigin::Operator(reply), now);
                return;
            }
            ControlCall::BadConfig(fault) => {
                tracing::info!(%fault, "a configuration was refused");
                ControlReply::Invalid {
                    reason: fault.to_string(),
                }
            }
            ControlCall::Announce(record) => self.handle_announcement(*record, now),
            ControlCall::BadAnnouncement { reason } => {
                tracing::warn!(reason, "an announcement was refused");
                ControlReply::Invalid { reason }
            }
            ControlCall::Goodbye { name } => self.handle_goodbye(&name, now),
            ControlCall::FindEdges => self.resolve_edges(client_ip, now),
            ControlCall::Unknown => ControlReply::NotFound,
        };
        answer_call(reply, answer);
    }

    /// Tries waiting calls again and ends those that have waited for too long.
    pub(crate) fn retry_calls(&mut self, now: ClockTime) {
        self.retry_puts(now);
        self.retry_drains(now);
        self.retry_reads(now);
        self.answer_applied_reads(now);
    }
}

/// Answers a call, unless its caller has left.
pub(crate) fn answer_call(reply: oneshot::Sender<ControlReply>, answer: ControlReply) {
    metrics::counter!(metric_names::CALLS, "outcome" => answer.outcome()).increment(1);
    if reply.send(answer).is_err() {
        tracing::debug!("a caller of the control interface left before its answer");
    }
}
