//! Responds to operators' queries with tables of the current state.

use ragwortroad_language::prelude::*;
use ragwortroad_membership::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    control::control_state::ControlState,
    member::proposal_kind::LineOrigin, //
};

impl ControlState {
    /// Responds to a query from `state` and from this node's own view.
    pub(crate) fn respond_to_show(
        &self,
        origin: LineOrigin,
        query: &ShowQuery,
        state: &FleetState,
        remark: &str,
    ) {
        let table = state_table(query.topic, state).unwrap_or_else(|| self.view_table(query.topic));
        let table = table.filtered(&query.conditions);
        let text = format!("{remark}{}", table.to_text());
        self.respond_to_line(origin, 200, &text, table.to_json());
    }

    /// Builds the table of a topic that is not part of the replicated state.
    fn view_table(&self, topic: ShowTopic) -> ResultTable {
        let mut table = ResultTable::new(topic);
        match topic {
            ShowTopic::Endpoints => self.show_endpoints(&mut table),
            ShowTopic::Engines => self.show_engines(&mut table),
            ShowTopic::Members => self.show_members(&mut table),
            ShowTopic::Leader => self.show_leader(&mut table),
            ShowTopic::Nodes => self.show_nodes(&mut table),
            ShowTopic::Orders => self.show_orders(&mut table),
            _ => {}
        }
        table
    }

    fn show_endpoints(&self, table: &mut ResultTable) {
        for record in self.membership.endpoints() {
            let load = self.known_load(record);
            table.push([
                text(&record.name),
                text(match record.kind {
                    EndpointKind::Engine => "engine",
                    EndpointKind::Service => "service",
                }),
                text(&record.zone),
                text(record.address),
                text(presence(record)),
                load.map_or(CellValue::Empty, |load| number(load.running)),
                load.map_or(CellValue::Empty, |load| number(load.queued)),
                number(record.capacity),
                text(self.node_name(record.home)),
            ]);
        }
    }

    /// Returns an endpoint's load: exact if this node is its home, else as last gossiped.
    fn known_load(&self, record: &EndpointRecord) -> Option<LoadReport> {
        let gossiped = LoadReport {
            running: record.load.requests(record.capacity),
            ..LoadReport::default()
        };
        self.membership.home_load(record.id).or(Some(gossiped))
    }

    fn show_engines(&self, table: &mut ResultTable) {
        let endpoints = self.membership.endpoints();
        let engines = endpoints.filter(|record| record.kind == EndpointKind::Engine);
        let replica = self.replica.as_ref();
        for record in engines {
            let load = self.known_load(record);
            let target = replica.and_then(|replica| replica.state.plan().target(&record.name));
            let wanted = target.map(|target| target.models.iter().cloned().collect::<Vec<_>>());
            let role = target.map(|target| format!("{:?}", target.role).to_lowercase());
            table.push([
                text(&record.name),
                text(&record.zone),
                text(presence(record)),
                text(offers_text(&record.models)),
                wanted.map_or(CellValue::Empty, |wanted| text(offers_text(&wanted))),
                role.map_or(CellValue::Empty, text),
                load.map_or(CellValue::Empty, |load| number(load.running)),
                load.map_or(CellValue::Empty, |load| number(load.queued)),
            ]);
        }
    }

    fn show_members(&self, table: &mut ResultTable) {
        let Some(core) = self
            .replica
            .as_ref()
            .and_then(|replica| replica.core.as_ref())
        else {
            return;
        };
        let matches = core.match_indexes();
        for record in core.members().records() {
            let address = self.membership.node(record.node);
            let matched = matches.iter().find(|(member, _)| *member == record.member);
            let own = (record.member == core.id()).then(|| core.commit_index());
            let index = matched.map(|(_, index)| *index).or(own);
            table.push([
                text(self.node_name(record.node)),
                address.map_or(CellValue::Empty, |node| text(node.gossip_address)),
                text(format!("{:?}", record.role).to_lowercase()),
                index.map_or(CellValue::Empty, CellValue::Number),
            ]);
        }
    }

    fn show_leader(&self, table: &mut ResultTable) {
        let Some(leader) = self.leader() else {
            return;
        };
        let now = self.clock.now();
        let replica = self.replica.as_ref();
        let core = replica.and_then(|replica| replica.core.as_ref());
        let lease = core.and_then(|core| core.lease_valid_until());
        let lease = lease.map(|until| until.since(now).as_millis() as u64);
        table.push([
            text(self.node_name(leader)),
            core.map_or(CellValue::Empty, |core| CellValue::Number(core.term())),
            replica.map_or(CellValue::Empty, |replica| {
                CellValue::Number(replica.state.lease().fence().0)
            }),
            lease.map_or(CellValue::Empty, CellValue::Number),
        ]);
    }

    fn show_nodes(&self, table: &mut ResultTable) {
        let now = self.clock.now();
        let context = self
            .replica
            .as_ref()
            .and_then(|replica| replica.leader_context.as_ref());
        for (node, record) in self.membership.nodes() {
            let mut admitting = context
                .into_iter()
                .flat_map(|context| context.table.admitting(now));
            let revision = admitting.find(|(run, _)| run.node == node);
            let drained = self.follower.config.drains_node(&record.name);
            table.push([
                text(&record.name),
                text(&record.zone),
                text(format!("{:?}", record.state).to_lowercase()),
                text(record.caller_address),
                revision.map_or(CellValue::Empty, |(_, number)| CellValue::Number(number)),
                CellValue::Flag(revision.is_some()),
                CellValue::Flag(drained || record.state == NodeState::Leaving),
            ]);
        }
    }

    fn show_orders(&self, table: &mut ResultTable) {
        let context = self
            .replica
            .as_ref()
            .and_then(|replica| replica.leader_context.as_ref());
        let Some(orders) = context.and_then(|context| context.orders.as_ref()) else {
            return;
        };
        for order in orders.pending() {
            table.push([
                text(format!("{}.{}", order.id.fence, order.id.number)),
                text(&order.engine),
                text(format!("{:?}", order.action)),
                text("sent"),
            ]);
        }
    }
}

fn text(value: impl ToString) -> CellValue {
    CellValue::Text(value.to_string())
}

fn number(value: u32) -> CellValue {
    CellValue::Number(value.into())
}

/// Returns an endpoint's presence as one word.
fn presence(record: &EndpointRecord) -> String {
    match record.damped {
        true => "flapping".to_owned(),
        false => format!("{:?}", record.presence).to_lowercase(),
    }
}

/// Formats models with their versions and adapters, as in `caption@v1+coats`.
fn offers_text(offers: &[ModelOffer]) -> String {
    let text = |offer: &ModelOffer| {
        let adapters: String = offer
            .adapters
            .iter()
            .map(|name| format!("+{name}"))
            .collect();
        format!("{}@{}{adapters}", offer.model, offer.version)
    };
    let parts: Vec<String> = offers.iter().map(text).collect();
    parts.join(" ")
}
