//! What goes into the time line.

use ragwortroad_gateway::prelude::*;
use ragwortroad_membership::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_timeline::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    control::{
        control_inbox::PageCall,
        control_state::{
            ControlState,
            reply_to, //
        }, //
    },
    request::{
        request_plan::RequestPlan,
        ticket_table::TicketRecord, //
    }, //
};

impl ControlState {
    /// Keeps an event about a node.
    pub(crate) fn note_node(&mut self, kind: EventKind, node: NodeId) {
        let who = Some(self.node_name(node));
        let event = FleetEvent::new(kind);
        self.events.note(FleetEvent { who, ..event });
    }

    /// Keeps an event about an endpoint.
    pub(crate) fn note_endpoint(&mut self, kind: EventKind, endpoint: EndpointId) {
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
        self.events.note(event);
    }

    /// Keeps an event about a revision of the configuration.
    pub(crate) fn note_revision(&mut self, kind: EventKind, revision: u64, detail: String) {
        self.events.note(FleetEvent {
            revision: Some(revision),
            detail,
            ..FleetEvent::new(kind)
        });
    }

    /// Keeps an event about the lead.
    pub(crate) fn note_lead(&mut self, kind: EventKind, fence: Option<FenceNumber>) {
        let seat = self.member.as_ref();
        let core = seat.and_then(|seat| seat.core.as_ref());
        self.events.note(FleetEvent {
            who: Some(self.settings.node.name.clone()),
            term: core.map(|core| core.term()),
            fence,
            ..FleetEvent::new(kind)
        });
    }

    /// Keeps an event about an order to an engine.
    pub(crate) fn note_order(&mut self, kind: EventKind, id: OrderId, engine: &str, what: String) {
        self.events.note(FleetEvent {
            endpoint: Some(engine.to_owned()),
            fence: Some(id.fence),
            detail: format!("order {}: {what}", id.number),
            ..FleetEvent::new(kind)
        });
    }

    /// Keeps an event about a request that was let in.
    pub(crate) fn note_plan(&mut self, kind: EventKind, plan: &RequestPlan, detail: String) {
        self.events.note(FleetEvent {
            request: Some(plan.call.request),
            chat: plan.chat,
            customer: Some(plan.customer.clone()),
            detail,
            ..FleetEvent::new(kind)
        });
    }

    /// Keeps the dispatch of an attempt.
    pub(crate) fn note_dispatch(&mut self, plan: &RequestPlan, endpoint: EndpointId) {
        let event = FleetEvent {
            request: Some(plan.call.request),
            chat: plan.chat,
            customer: Some(plan.customer.clone()),
            endpoint: Some(self.endpoint_name(endpoint)),
            ..FleetEvent::new(EventKind::RequestDispatched)
        };
        self.events.note(event);
    }

    /// Keeps the end of an attempt.
    pub(crate) fn note_finish(&mut self, record: &TicketRecord, call: &FinishCall) {
        let outcome = match &call.outcome {
            AttemptOutcome::Completed { status, .. } => format!("status {status}"),
            AttemptOutcome::NotSent => "not sent".to_owned(),
            AttemptOutcome::Broken => "broken".to_owned(),
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
        self.events.note(event);
    }

    /// Keeps a slot that this node, as an endpoint's home, granted or refused to another node.
    pub(crate) fn note_slot(
        &mut self,
        asker: NodeId,
        request: RequestId,
        endpoint: EndpointId,
        granted: bool,
    ) {
        let kind = match granted {
            true => EventKind::RequestAdmitted,
            false => EventKind::RequestRefused,
        };
        let event = FleetEvent {
            who: Some(self.node_name(asker)),
            request: Some(request),
            endpoint: Some(self.endpoint_name(endpoint)),
            detail: "slot at its home".to_owned(),
            ..FleetEvent::new(kind)
        };
        self.events.note(event);
    }

    /// Keeps the moments at which this node loses and regains its leave to admit work.
    pub(crate) fn note_currency(&mut self, now: ClockTime) {
        let admits = self.follow.guard.may_admit(now).is_ok();
        if admits == self.follow.admits {
            return;
        }
        self.follow.admits = admits;
        let kind = match admits {
            true => EventKind::CurrencyRegained,
            false => EventKind::CurrencyLost,
        };
        let revision = self.follow.config.revision;
        self.note_revision(kind, revision, String::new());
    }

    /// Serves this node's part of the time line to an operator.
    pub(crate) fn serve_page(&mut self, call: PageCall) {
        let operator = self.operator_name(&call.key_hash, &self.follow.config);
        let page = operator.map(|_| {
            let node = &self.settings.node;
            let part = self.events.gather(&node.name, &node.zone, &call.filter);
            String::from_utf8(part.to_bytes()).unwrap_or_default()
        });
        reply_to(&call.reply, page);
    }

    fn endpoint_name(&self, endpoint: EndpointId) -> String {
        let record = self.membership.endpoint(endpoint);
        record.map_or_else(|| endpoint.to_string(), |record| record.name.clone())
    }
}
