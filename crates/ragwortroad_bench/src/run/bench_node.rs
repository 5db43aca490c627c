use std::{
    collections::BTreeSet,
    time::Duration, //
};

use ragwortroad_routing::{
    CustomerKey,
    CustomerLimit,
    CustomerLimiter,
    LimiterSettings,
    RetryBudget,
    RouteSettings,
    RouteTable, //
};
use ragwortroad_types::{
    ClockTime,
    NodeId, //
};

use crate::{
    BenchSettings,
    FeatureSet,
    PolicyKind,
    WorkloadSpec,
    policy::baseline_view::BaselineView, //
};

/// One node: the real decision code, and what baselines know instead.
#[derive(Clone, Debug)]
pub(crate) struct BenchNode {
    pub(crate) alive: bool,
    pub(crate) table: RouteTable,
    pub(crate) limiter: CustomerLimiter,
    /// Customers whose limit the limiter knows.
    declared_customers: BTreeSet<usize>,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) baseline_view: BaselineView,
    /// Nodes it believes alive.
    pub(crate) members: BTreeSet<NodeId>,
}

/// Retries a node may make for each first attempt.
const RETRY_RATIO: f64 = 0.1;
/// Engines whose whole work a node may retry at once. An engine's callers are mostly at its home, so
/// that a crash fails them all at one node.
const RETRY_BURST_ENGINES: u32 = 2;

impl BenchNode {
    /// A node that has just started.
    pub(crate) fn new(
        index: usize,
        ids: &[NodeId],
        settings: &BenchSettings,
        spec: &WorkloadSpec,
        policy: PolicyKind,
    ) -> Self {
        let id = ids[index];
        let limits = LimiterSettings {
            node: id,
            ..LimiterSettings::default()
        };
        let mut node = Self {
            alive: true,
            table: RouteTable::new(route_settings(id, settings, spec, policy)),
            limiter: CustomerLimiter::new(limits),
            declared_customers: BTreeSet::new(),
            retry_budget: RetryBudget::new(RETRY_RATIO, RETRY_BURST_ENGINES * spec.engine_capacity),
            baseline_view: BaselineView::new(spec.engines, settings.seed, index),
            members: ids.iter().copied().collect(),
        };
        node.apply_members(ClockTime::ZERO);
        node
    }

    /// Hands the nodes believed alive to those who need them.
    pub(crate) fn apply_members(&mut self, now: ClockTime) {
        let nodes: Vec<NodeId> = self.members.iter().copied().collect();
        self.table.set_nodes(&nodes);
        self.limiter.set_nodes(&nodes, now);
    }

    /// Declares a customer's limit when it first turns up; on a real node the configuration does.
    pub(crate) fn declare_limit(&mut self, customer: usize, rate: f64, now: ClockTime) {
        if self.declared_customers.insert(customer) {
            let limit = CustomerLimit {
                requests_per_s: rate,
                tokens_per_s: 1e9,
                concurrent: 1_000_000,
                ..CustomerLimit::default()
            };
            self.limiter.set_limit(customer_key(customer), limit, now);
        }
    }
}

/// The key of a customer by its number.
pub(crate) fn customer_key(customer: usize) -> CustomerKey {
    CustomerKey::from_name(&format!("customer-{customer}"))
}

/// The settings of a node's table under `policy`.
fn route_settings(
    node: NodeId,
    settings: &BenchSettings,
    spec: &WorkloadSpec,
    policy: PolicyKind,
) -> RouteSettings {
    let ideas = match policy {
        PolicyKind::Homes(ideas) => ideas,
        _ => FeatureSet::NONE,
    };
    let defaults = RouteSettings::default();
    RouteSettings {
        node,
        mean_margin: settings.mean_margin.unwrap_or(defaults.mean_margin),
        shared_prefix_block: if ideas.plans {
            defaults.shared_prefix_block
        } else {
            0
        },
        two_choices: ideas.two_choices,
        chat_entries: if ideas.hints { spec.chat_entries } else { 0 },
        prefix_entries: if ideas.hints { spec.chat_entries } else { 0 },
        max_context_wait: if ideas.holds {
            defaults.max_context_wait
        } else {
            Duration::ZERO
        },
        max_capacity_wait: if ideas.holds {
            defaults.max_capacity_wait
        } else {
            Duration::ZERO
        },
        ..defaults
    }
}
