//! Orders to engines: what they shall hold is planned here, and sent while the lease lasts.

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

/// Time from the grant to the first plan. A leader that has just started knows few engines yet,
/// and would load models onto these that the others hold.
const PLAN_SETTLE: Duration = Duration::from_secs(5);

/// Time from the grant until an engine that this leader never heard of leaves the plan.
const FORGET_SETTLE: Duration = Duration::from_secs(60);

impl ControlState {
    /// Tells the others what this node refused for want of room.
    pub(crate) fn tell_refused(&mut self) {
        let blob = self.refused.end_second();
        if !self.membership.set_blob(REFUSED_BLOB, blob) {
            tracing::warn!("what was refused does not fit a blob; placement does not know of it");
        }
    }

    /// A second's refusals over all live nodes.
    fn refused_everywhere(&self) -> BTreeMap<OfferKey, u32> {
        let live = self.membership.live_nodes().map(|(node, _)| node);
        let live: BTreeSet<NodeId> = live.chain([self.node]).collect();
        let mut sum = BTreeMap::new();
        for (node, blob) in self.membership.blobs(REFUSED_BLOB) {
            if live.contains(&node) {
                RefusedDemand::add(&mut sum, blob);
            }
        }
        sum
    }

    /// Plans, once a second, what engines shall hold.
    pub(crate) fn plan_engines(&mut self, now: ClockTime) {
        let Some(seat) = self.member.as_ref().filter(|seat| seat.leads(now)) else {
            return;
        };
        let gate = seat.desk.as_ref().and_then(|desk| desk.gate);
        let Some(gate) = gate.filter(|gate| now.since(gate.applied_at()) >= PLAN_SETTLE) else {
            return;
        };
        let (state, config) = (&seat.state, seat.state.config());
        let endpoints = self.membership.endpoints();
        let engines = endpoints.filter_map(|record| EngineView::of(record, config));
        let engines: Vec<EngineView> = engines.collect();
        let history = OfferHistory::of(state.changes());
        let plan = TargetPlan::of(&TargetInput {
            config,
            history: &history,
            plan: state.plan(),
            engines: &engines,
            refused: &self.refused_everywhere(),
            room: self.settings.orders.models_per_engine,
            loads_at_once: self.settings.orders.loads_at_once,
        });
        let mut targets = plan.changes;
        if now.since(gate.applied_at()) >= FORGET_SETTLE {
            let known: BTreeSet<&str> = engines.iter().map(|view| view.name.as_str()).collect();
            let gone = state.plan().targets().map(|(name, _)| name);
            let gone = gone.filter(|name| !known.contains(name));
            targets.extend(gone.map(|name| (name.to_owned(), None)));
        }
        self.follow_plan(&plan.urgencies, &history);
        if !targets.is_empty() {
            let fence = gate.fence();
            let action = StateAction::Plan { fence, targets };
            self.propose(action, ProposalKind::Plan, now);
        }
    }

    /// Tells the orders what is planned and what is seen.
    fn follow_plan(&mut self, urgencies: &BTreeMap<String, u32>, history: &OfferHistory) {
        let Some(seat) = &mut self.member else {
            return;
        };
        let desk = seat.desk.as_mut();
        let Some((table, ordered)) =
            desk.and_then(|desk| Some((desk.orders.as_mut()?, &mut desk.ordered)))
        else {
            return;
        };
        let mut there = BTreeSet::new();
        for (name, target) in seat.state.plan().targets() {
            let record = self.membership.endpoint(EndpointId::from_name(name));
            let Some(record) = record.filter(|record| record.presence != EndpointPresence::Gone)
            else {
                continue;
            };
            let urgency = urgencies.get(name).copied().unwrap_or(0);
            table.set_target(name, target.clone(), urgency);
            let sight = EngineObservation {
                incarnation: record.incarnation,
                models: record.models.iter().cloned().collect(),
            };
            table.observe(name, sight);
            if !ordered.contains(name) && history.undrains(name, &record.zone) {
                table.mark_drain_unknown(name);
            }
            there.insert(name.to_owned());
        }
        for name in ordered.difference(&there) {
            table.remove_engine(name);
        }
        *ordered = there;
    }

    /// Takes in what engines answered and sends the orders that are due.
    pub(crate) fn tick_orders(&mut self, now: ClockTime) {
        let reports = self.orders.as_ref().map(OrderWorker::reports);
        for report in reports.unwrap_or_default() {
            self.order_ended(report);
        }
        for task in self.due_orders(now) {
            let EngineOrder { id, engine, action } = &task.order;
            self.note_order(EventKind::OrderSent, *id, engine, format!("{action:?}"));
            metrics::counter!("ragwortroad_orders_sent_total").increment(1);
            if let Some(worker) = &self.orders {
                worker.send(task);
            }
        }
    }

    /// Orders that the lease lets this node give now.
    fn due_orders(&mut self, now: ClockTime) -> Vec<OrderTask> {
        let Some(seat) = self.member.as_mut().filter(|seat| seat.leads(now)) else {
            return Vec::new();
        };
        let core = seat.core.as_ref();
        let Some(lead_until) = core.and_then(|core| core.lease_valid_until()) else {
            return Vec::new();
        };
        let (membership, models) = (&self.membership, &seat.state.config().models);
        let Some(desk) = &mut seat.desk else {
            return Vec::new();
        };
        let (Some(gate), Some(table)) = (desk.gate, &mut desk.orders) else {
            return Vec::new();
        };
        let record = |engine: &str| membership.endpoint(EndpointId::from_name(engine));
        let may_order = |engine: &str| {
            let checks = record(engine).is_some_and(|record| record.checks_fencing);
            gate.may_order(now, lead_until, checks).is_ok()
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

    /// An order was answered, or not. An answer to an order that is no longer under way, of an
    /// earlier lead or repeated, changes nothing.
    fn order_ended(&mut self, report: OrderReport) {
        let desk = self.member.as_mut().and_then(|seat| seat.desk.as_mut());
        let table = desk.and_then(|desk| desk.orders.as_mut());
        if report.end == OrderEnd::Confirmed
            && let Some(table) = table
        {
            table.acknowledge(report.id);
        }
        let OrderReport { id, engine, end } = report;
        metrics::counter!("ragwortroad_orders_ended_total", "end" => end.word()).increment(1);
        if end != OrderEnd::Confirmed {
            tracing::warn!(engine, end = end.detail(), "an order was not confirmed");
        }
        self.note_order(EventKind::OrderAnswered, id, &engine, end.detail());
    }

    /// Publishes what operators watch of orders.
    pub(crate) fn publish_order_gauges(&self, now: ClockTime) {
        let seat = self.member.as_ref().filter(|seat| seat.leads(now));
        let desk = seat.and_then(|seat| seat.desk.as_ref());
        let table = desk.and_then(|desk| desk.orders.as_ref());
        let under_way = table.map_or(0, |table| table.pending().count());
        let waiting = table.map_or(0, OrderTable::waiting_loads);
        let name = &self.settings.node.name;
        metrics::gauge!("ragwortroad_orders_under_way", "node" => name.clone())
            .set(under_way as f64);
        metrics::gauge!("ragwortroad_loads_waiting", "node" => name.clone()).set(waiting as f64);
    }
}

/// Settings of the holder's orders.
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
