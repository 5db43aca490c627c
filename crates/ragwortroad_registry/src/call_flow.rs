//! Handles requests to the control interface from operators, endpoints and callers.

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

/// Time after which a queued call is answered as unavailable.
///
/// Operators switch to another registry after one second without an answer. Answering earlier gives
/// them the reason as well.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Maximum number of queued calls of each kind. Further calls are refused to bound memory.
pub(crate) const MAX_QUEUED_CALLS: usize = 256;

impl RegistryState {
    pub(crate) fn handle_call(
        &mut self,
        call: ControlCall,
        caller_ip: IpAddr,
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
                tracing::info!(%fault, "refused an invalid configuration");
                ControlReply::Invalid {
                    reason: fault.to_string(),
                }
            }
            ControlCall::Announce(record) => self.handle_announcement(*record, now),
            ControlCall::BadAnnouncement { reason } => {
                tracing::warn!(reason, "refused an invalid announcement");
                ControlReply::Invalid { reason }
            }
            ControlCall::Goodbye { name } => self.handle_goodbye(&name, now),
            ControlCall::FindEdges => self.resolve_edges(caller_ip, now),
            ControlCall::Unknown => ControlReply::NotFound,
        };
        answer_call(reply, answer);
    }

    /// Retries queued calls and ends those that have exceeded their deadline.
    pub(crate) fn retry_calls(&mut self, now: ClockTime) {
        self.retry_puts(now);
        self.retry_drains(now);
        self.retry_reads(now);
        self.answer_applied_reads(now);
    }
}

/// Sends the reply to a call, unless the caller has disconnected.
pub(crate) fn answer_call(reply: oneshot::Sender<ControlReply>, answer: ControlReply) {
    metrics::counter!(metric_names::CONTROL_CALLS, "outcome" => answer.outcome()).increment(1);
    if reply.send(answer).is_err() {
        tracing::debug!("caller of the control interface disconnected before its answer");
    }
}
