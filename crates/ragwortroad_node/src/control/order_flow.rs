//! Plans the models that engines are to hold, and sends the orders while the lease is valid.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use ragwortroad_membership::prelude::*;
use ragwortroad_routing::prelude::*;
use ragwortroad_settings::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_timeline::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    control::control_state::ControlState,
    member::proposal_kind::ProposalKind,
    order::{
        engine_view::EngineView,
        offer_history::OfferHistory,
        order_report::{
            OrderEnd,
            OrderReport,
            OrderTask, //
        },
        order_worker::OrderWorker,
        refused_demand::{
            REFUSED_BLOB,
            RefusedDemand, //
        },
        target_plan::{
            TargetInput,
            TargetPlan, //
        }, //
    },
};

/// Delay from the grant of the lease to the first plan. A leader that has just started knows few
/// engines yet, and would order them to load models that other engines already hold.
const PLAN_START_DELAY: Duration = Duration::from_secs(5);

/// Delay from the grant of the lease until an engine that this leader has never heard of is removed
/// from the plan.
const FORGET_DELAY: Duration = Duration::from_secs(60);

impl ControlState {
    /// Publishes to the other nodes what this node refused for lack of capacity.
    pub(crate) fn publish_refused_demand(&mut self) {
        let blob = self.refused.end_second();
        if !self.membership.set_blob(REFUSED_BLOB, blob) {
            tracing::warn!("refused demand does not fit its gossip blob; placement ignores it");
        }
    }

    /// Sums the refusals of one second over all live nodes.
    fn fleet_refused_demand(&self) -> BTreeMap<OfferKey, u32> {
        let live = self.membership.live_nodes().map(|(node, _)| node);
        let live: BTreeSet<NodeId> = live.chain([self.node]).collect();
        let mut sum = BTreeMap::new();
        for (node, blob) in self.membership.blobs(REFUSED_BLOB) {
            if live.contains(&node) {
                RefusedDemand::add_blob(&mut sum, blob);
            }
        }
        sum
    }

    /// Plans which models the engines are to hold. Runs once a second on the leader.
    pub(crate) fn plan_engines(&mut self, now: ClockTime) {
        let Some(replica) = self.replica.as_ref().filter(|replica| replica.leads(now)) else {
            return;
        };
        let gate = replica
            .leader_context
            .as_ref()
            .and_then(|context| context.gate);
        let Some(gate) = gate.filter(|gate| now.since(gate.applied_at()) >= PLAN_START_DELAY)
        else {
            return;
        };
        let (state, config) = (&replica.state, replica.state.config());
        let endpoints = self.membership.endpoints();
        let engines = endpoints.filter_map(|record| EngineView::of(record, config));
        let engines: Vec<EngineView> = engines.collect();
        let history = OfferHistory::of(state.changes());
        let plan = TargetPlan::of(&TargetInput {
            config,
            history: &history,
            plan: state.plan(),
            engines: &engines,
            refused: &self.fleet_refused_demand(),
            max_offers: self.settings.orders.models_per_engine,
            loads_at_once: self.settings.orders.loads_at_once,
        });
        let mut targets = plan.changes;
        if now.since(gate.applied_at()) >= FORGET_DELAY {
            let known: BTreeSet<&str> = engines.iter().map(|view| view.name.as_str()).collect();
            let gone = state.plan().targets().map(|(name, _)| name);
            let gone = gone.filter(|name| !known.contains(name));
            targets.extend(gone.map(|name| (name.to_owned(), None)));
        }
        self.update_orders(&plan.urgencies, &history);
        if !targets.is_empty() {
            let fence = gate.fence();
            let action = StateAction::Plan { fence, targets };
            self.propose(action, ProposalKind::Plan, now);
        }
    }

    /// Updates the order table with the planned targets and the observed state of the engines.
    fn update_orders(&mut self, urgencies: &BTreeMap<String, u32>, history: &OfferHistory) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        let context = replica.leader_context.as_mut();
        let Some((table, ordered_engines)) = context
            .and_then(|context| Some((context.orders.as_mut()?, &mut context.ordered_engines)))
        else {
            return;
        };
        let mut present = BTreeSet::new();
        for (name, target) in replica.state.plan().targets() {
            let record = self.membership.endpoint(EndpointId::from_name(name));
            let Some(record) = record.filter(|record| record.presence != EndpointPresence::Gone)
            else {
                continue;
            };
            let urgency = urgencies.get(name).copied().unwrap_or(0);
            table.set_target(name, target.clone(), urgency);
            let observation = EngineObservation {
                incarnation: record.incarnation,
                models: record.models.iter().cloned().collect(),
            };
            table.observe(name, observation);
            if !ordered_engines.contains(name) && history.was_undrained(name, &record.zone) {
                table.mark_drain_unknown(name);
            }
            present.insert(name.to_owned());
        }
        for name in ordered_engines.difference(&present) {
            table.remove_engine(name);
        }
        *ordered_engines = present;
    }

    /// Handles the reports on orders sent, and sends the orders that are due.
    pub(crate) fn tick_orders(&mut self, now: ClockTime) {
        let reports = self.orders.as_ref().map(OrderWorker::reports);
        for report in reports.unwrap_or_default() {
            self.handle_order_report(report);
        }
        for task in self.due_orders(now) {
            let EngineOrder { id, engine, action } = &task.order;
            self.record_order_event(EventKind::OrderSent, *id, engine, format!("{action:?}"));
            metrics::counter!("ragwortroad_orders_sent_total").increment(1);
            if let Some(worker) = &self.orders {
                worker.send(task);
            }
        }
    }

    /// Returns the orders that this node may send now under its lease.
    fn due_orders(&mut self, now: ClockTime) -> Vec<OrderTask> {
        let Some(replica) = self.replica.as_mut().filter(|replica| replica.leads(now)) else {
            return Vec::new();
        };
        let core = replica.core.as_ref();
        let Some(lead_until) = core.and_then(|core| core.lease_valid_until()) else {
            return Vec::new();
        };
        let (membership, models) = (&self.membership, &replica.state.config().models);
        let Some(context) = &mut replica.leader_context else {
            return Vec::new();
        };
        let (Some(gate), Some(table)) = (context.gate, &mut context.orders) else {
            return Vec::new();
        };
        let record = |engine: &str| membership.endpoint(EndpointId::from_name(engine));
        let may_order = |engine: &str| {
            let checks_fencing = record(engine).is_some_and(|record| record.checks_fencing);
            gate.may_order(now, lead_until, checks_fencing).is_ok()
        };
        let size_of = |model: &str| models.get(model).map_or(0, |entry| entry.size_mb);
        let orders = table.due_orders(now, may_order, size_of).into_iter();
        let task = |order: EngineOrder| {
            let record = record(&order.engine)?;
            Some(OrderTask {
                address: record.address,
                checks_fencing: record.checks_fencing,
                gate,
                lead_until,
                order,
            })
        };
        orders.filter_map(task).collect()
    }

    /// Handles the outcome of sending an order. A confirmation of an order that is no longer
    /// pending, from an earlier leadership or a resend, changes nothing.
    fn handle_order_report(&mut self, report: OrderReport) {
        let context = self
            .replica
            .as_mut()
            .and_then(|replica| replica.leader_context.as_mut());
        let table = context.and_then(|context| context.orders.as_mut());
        if report.end == OrderEnd::Confirmed
            && let Some(table) = table
        {
            table.acknowledge(report.id);
        }
        let OrderReport { id, engine, end } = report;
        metrics::counter!("ragwortroad_orders_ended_total", "end" => end.label()).increment(1);
        if end != OrderEnd::Confirmed {
            tracing::warn!(engine, end = end.detail(), "order not confirmed");
        }
        self.record_order_event(EventKind::OrderAnswered, id, &engine, end.detail());
    }

    /// Publishes the leader's gauges about orders.
    pub(crate) fn publish_order_gauges(&self, now: ClockTime) {
        let replica = self.replica.as_ref().filter(|replica| replica.leads(now));
        let context = replica.and_then(|replica| replica.leader_context.as_ref());
        let table = context.and_then(|context| context.orders.as_ref());
        let under_way = table.map_or(0, |table| table.pending().count());
        let waiting = table.map_or(0, OrderTable::waiting_loads);
        let name = &self.settings.node.name;
        metrics::gauge!("ragwortroad_orders_under_way", "node" => name.clone())
            .set(under_way as f64);
        metrics::gauge!("ragwortroad_loads_waiting", "node" => name.clone()).set(waiting as f64);
    }
}

/// Returns the order table's settings from the configured ones.
pub(crate) fn order_settings(keys: &EngineOrderSettings) -> OrderSettings {
    OrderSettings {
        resend_after: keys.resend,
        load_timeout: keys.load_bound,
        rate: LoadRate {
            mb_per_s: keys.store_mb_per_s,
            burst_mb: keys.store_burst_mb,
            max_concurrent: keys.loads_at_once,
        },
    }
}
