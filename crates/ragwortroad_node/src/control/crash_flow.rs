//! Quarantine of requests that crash the endpoints which run them.

use ragwortroad_gateway::prelude::*;
use ragwortroad_membership::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    control::{
        admit_flow::AdmitRefusal,
        control_state::ControlState, //
    },
    request::ticket_table::TicketRecord,
    wire::slot_message::SlotMessage, //
};

/// Maximum number of reports sent to a node at once.
const MAX_SENT_REPORTS: usize = 1000;

/// Number of nodes that a started node asks for the known crashes.
const MAX_NODES_ASKED: u32 = 3;

impl ControlState {
    /// Returns an error if endpoints have crashed under requests with this content.
    pub(crate) fn check_quarantine(
        &self,
        digest: RequestDigest,
        now: ClockTime,
    ) -> Result<(), AdmitRefusal> {
        if !self.crashes.is_quarantined(digest, now) {
            return Ok(());
        }
        Err(AdmitRefusal {
            // The content has run before.
            outcome: RequestOutcome::Unknown,
            code: RefusalCode::CrashesEndpoints,
            message: "endpoints crashed while they ran this request".to_owned(),
            retry_after: None,
        })
    }

    /// Records whether an endpoint crashed under a request, or ran it to its end.
    pub(crate) fn observe_end(
        &mut self,
        record: &TicketRecord,
        outcome: &AttemptOutcome,
        now: ClockTime,
    ) {
        let end = match outcome {
            // An error may have been returned in place of a run.
            AttemptOutcome::Completed { status, .. } if *status < 300 => RunEnd::Completed,
            AttemptOutcome::Crashed => {
                let endpoint = self.membership.endpoint(record.endpoint);
                // An endpoint that is leaving may end under its last requests.
                let present = endpoint.filter(|it| it.presence == EndpointPresence::Present);
                let Some(endpoint) = present else {
                    return;
                };
                RunEnd::Crashed(IncarnationKey::new(&endpoint.name, endpoint.incarnation))
            }
            _ => return,
        };
        if self.crashes.observe(record.digest, end, now) && end != RunEnd::Completed {
            metrics::counter!("ragwortroad_request_crashes_total").increment(1);
            tracing::warn!(
                content = %record.digest,
                request = %record.request,
                endpoint = %record.endpoint,
                quarantined = self.crashes.is_quarantined(record.digest, now),
                "endpoint crashed under a request"
            );
        }
    }

    /// Sends new observations to all other nodes.
    pub(crate) fn send_crashes(&mut self, now: ClockTime) {
        self.crashes.expire(now);
        let reports = self.crashes.take_news(MAX_SENT_REPORTS, now);
        if reports.is_empty() {
            return;
        }
        let others = self.membership.live_nodes().map(|(node, _)| node);
        let others: Vec<NodeId> = others.filter(|node| *node != self.node).collect();
        let message = SlotMessage::Crashes(reports);
        for node in others {
            self.send_slots(node, &message);
        }
    }

    /// Exchanges the known crashes with a node that has come up.
    ///
    /// It may have been on the other side of a partition, or this node may have just started.
    pub(crate) fn exchange_crashes(&mut self, node: NodeId, now: ClockTime) {
        self.send_all_crashes(node, now);
        if self.crash_sources < MAX_NODES_ASKED {
            self.crash_sources += 1;
            self.send_slots(node, &SlotMessage::WantCrashes);
        }
    }

    /// Sends all known crashes to a node.
    pub(crate) fn send_all_crashes(&self, node: NodeId, now: ClockTime) {
        let reports = self.crashes.reports(MAX_SENT_REPORTS, now);
        if !reports.is_empty() {
            self.send_slots(node, &SlotMessage::Crashes(reports));
        }
    }
}
