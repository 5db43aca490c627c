//! Records events for the timeline.

use ragwortroad_gateway::prelude::*;
use ragwortroad_membership::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_timeline::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    control::{
        control_inbox::TimelineCall,
        control_state::{
            ControlState,
            send_reply, //
        }, //
    },
    request::{
        pending_attempt::PendingAttempt,
        ticket_table::TicketRecord, //
    }, //
};

impl ControlState {
    pub(crate) fn record_node_event(&mut self, kind: EventKind, node: NodeId) {
        let who = Some(self.node_name(node));
        let event = FleetEvent::new(kind);
        self.events.record(FleetEvent { who, ..event });
    }

    /// Records an event about an endpoint, with its home node.
    pub(crate) fn record_endpoint_event(&mut self, kind: EventKind, endpoint: EndpointId) {
        let home = match self.membership.home_state(endpoint, self.clock.now()) {
            HomeState::Home { .. } | HomeState::Claiming => Some(self.node),
            HomeState::Elsewhere { home } => Some(home),
            HomeState::Unknown => None,
        };
        let event = FleetEvent {
            endpoint: Some(self.endpoint_name(endpoint)),
            who: home.map(|home| self.node_name(home)),
            ..FleetEvent::new(kind)
        };
        self.events.record(event);
    }

    pub(crate) fn record_revision_event(&mut self, kind: EventKind, revision: u64, detail: String) {
        self.events.record(FleetEvent {
            revision: Some(revision),
            detail,
            ..FleetEvent::new(kind)
        });
    }

    /// Records an event about this node's leadership.
    pub(crate) fn record_leader_event(&mut self, kind: EventKind, fence: Option<FencingToken>) {
        let replica = self.replica.as_ref();
        let core = replica.and_then(|replica| replica.core.as_ref());
        self.events.record(FleetEvent {
            who: Some(self.settings.node.name.clone()),
            term: core.map(|core| core.term()),
            fence,
            ..FleetEvent::new(kind)
        });
    }

    pub(crate) fn record_order_event(
        &mut self,
        kind: EventKind,
        id: OrderId,
        engine: &str,
        what: String,
    ) {
        self.events.record(FleetEvent {
            endpoint: Some(engine.to_owned()),
            fence: Some(id.fence),
            detail: format!("order {}: {what}", id.number),
            ..FleetEvent::new(kind)
        });
    }

    /// Records an event about an admitted request.
    pub(crate) fn record_attempt_event(
        &mut self,
        kind: EventKind,
        attempt: &PendingAttempt,
        detail: String,
    ) {
        self.events.record(FleetEvent {
            request: Some(attempt.call.request),
            chat: attempt.chat,
            customer: Some(attempt.customer.clone()),
            detail,
            ..FleetEvent::new(kind)
        });
    }

    /// Records that an attempt was dispatched to an endpoint.
    pub(crate) fn record_dispatch(&mut self, attempt: &PendingAttempt, endpoint: EndpointId) {
        let event = FleetEvent {
            request: Some(attempt.call.request),
            chat: attempt.chat,
            customer: Some(attempt.customer.clone()),
            endpoint: Some(self.endpoint_name(endpoint)),
            ..FleetEvent::new(EventKind::RequestDispatched)
        };
        self.events.record(event);
    }

    /// Records the end of an attempt.
    pub(crate) fn record_finish(&mut self, record: &TicketRecord, call: &FinishCall) {
        let outcome = match &call.outcome {
            AttemptOutcome::Completed { status, .. } => format!("status {status}"),
            AttemptOutcome::NotSent => "not sent".to_owned(),
            AttemptOutcome::Broken => "broken".to_owned(),
            AttemptOutcome::Crashed => "endpoint crashed".to_owned(),
            AttemptOutcome::Cancelled => "cancelled".to_owned(),
            AttemptOutcome::TimedOut => "timed out".to_owned(),
        };
        let event = FleetEvent {
            request: Some(record.request),
            chat: record.chat,
            customer: Some(record.customer_name.clone()),
            endpoint: Some(self.endpoint_name(record.endpoint)),
            detail: format!("{outcome} after {} ms", call.duration.as_millis()),
            ..FleetEvent::new(EventKind::RequestFinished)
        };
        self.events.record(event);
    }

    /// Records that this node, as the endpoint's home, granted or refused a slot to another node.
    pub(crate) fn record_slot_event(
        &mut self,
        requester: NodeId,
        request: RequestId,
        endpoint: EndpointId,
        granted: bool,
    ) {
        let kind = match granted {
            true => EventKind::RequestAdmitted,
            false => EventKind::RequestRefused,
        };
        let event = FleetEvent {
            who: Some(self.node_name(requester)),
            request: Some(request),
            endpoint: Some(self.endpoint_name(endpoint)),
            detail: "slot at its home".to_owned(),
            ..FleetEvent::new(kind)
        };
        self.events.record(event);
    }

    /// Records when this node loses or regains its right to admit requests.
    pub(crate) fn record_currency(&mut self, now: ClockTime) {
        let admits = self.follower.guard.may_admit(now).is_ok();
        if admits == self.follower.admits {
            return;
        }
        self.follower.admits = admits;
        let kind = match admits {
            true => EventKind::CurrencyRegained,
            false => EventKind::CurrencyLost,
        };
        let revision = self.follower.config.revision;
        self.record_revision_event(kind, revision, String::new());
    }

    /// Returns this node's part of the timeline to an operator.
    pub(crate) fn serve_timeline(&mut self, call: TimelineCall) {
        let operator = self.operator_name(&call.key_hash, &self.follower.config);
        let page = operator.map(|_| {
            let node = &self.settings.node;
            let part = self.events.gather(&node.name, &node.zone, &call.filter);
            String::from_utf8(part.to_bytes()).unwrap_or_default()
        });
        send_reply(&call.reply, page);
    }

    fn endpoint_name(&self, endpoint: EndpointId) -> String {
        let record = self.membership.endpoint(endpoint);
        record.map_or_else(|| endpoint.to_string(), |record| record.name.clone())
    }
}
