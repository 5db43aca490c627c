//! Handles requests to the control interface from operators, endpoints and clients.

use std::{
    net::IpAddr,
    time::Duration, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_telemetry::prelude::*;
use ragwortroad_types::prelude::*;
use tokio::sync::oneshot;

use crate::{
    ControlCall,
    ControlReply,
    read_origin::ReadOrigin,
    registry_state::RegistryState, //
};

/// Time after which a queued call is refused as unavailable.
///
/// Operators switch to another registry after one second without a response. Responding earlier
/// gives them the reason as well.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Maximum number of queued calls of each kind. Further calls are refused to bound memory.
pub(crate) const MAX_QUEUED_CALLS: usize = 256;

/// Longest reason for refusing an announcement that is logged and returned, in characters.
const MAX_REASON_CHARS: usize = 512;

impl RegistryState {
    pub(crate) fn handle_call(
        &mut self,
        call: ControlCall,
        client_ip: IpAddr,
        reply: oneshot::Sender<ControlReply>,
        now: ClockTime,
    ) {
        let control_reply = match call {
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
            ControlCall::Announce(record) => match record.check() {
                Ok(()) => {
                    self.handle_announcement(*record, reply, now);
                    return;
                }
                Err(fault) => refuse_announcement(&format!("{fault} ({})", record.name)),
            },
            ControlCall::BadAnnouncement { reason } => refuse_announcement(&reason),
            ControlCall::Goodbye { name } => match check_name(&name) {
                Ok(()) => {
                    self.handle_goodbye(&name, reply, now);
                    return;
                }
                Err(fault) => refuse_announcement(&fault.to_string()),
            },
            ControlCall::FindEdges => self.resolve_edges(client_ip, now),
            ControlCall::Unknown => ControlReply::NotFound,
        };
        send_reply(reply, control_reply);
    }

    /// Retries queued calls and ends those that have exceeded their deadline.
    pub(crate) fn retry_calls(&mut self, now: ClockTime) {
        self.retry_puts(now);
        self.retry_drains(now);
        self.retry_notices(now);
        self.retry_reads(now);
        self.reply_to_applied_reads(now);
    }
}

/// Refuses an announcement or a goodbye that names no endpoint.
fn refuse_announcement(reason: &str) -> ControlReply {
    // It may quote what was announced.
    let reason: String = reason.chars().take(MAX_REASON_CHARS).collect();
    tracing::warn!(reason, "refused an invalid announcement");
    ControlReply::Invalid { reason }
}

/// Sends the reply to a call, unless the client has disconnected.
pub(crate) fn send_reply(reply: oneshot::Sender<ControlReply>, control_reply: ControlReply) {
    metrics::counter!(metric_names::CONTROL_CALLS, "outcome" => control_reply.outcome())
        .increment(1);
    if reply.send(control_reply).is_err() {
        tracing::debug!("client of the control interface disconnected before it got the response");
    }
}
