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

/// A simulated node: the real decision code, and the state that the baseline policies use instead.
#[derive(Clone, Debug)]
pub(crate) struct BenchNode {
    pub(crate) alive: bool,
    pub(crate) table: RouteTable,
    pub(crate) limiter: CustomerLimiter,
    /// Customers whose limit has been set in the limiter.
    declared_customers: BTreeSet<usize>,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) baseline_view: BaselineView,
    /// Nodes that this node considers alive.
    pub(crate) known_nodes: BTreeSet<NodeId>,
}

/// Ratio of retries to first attempts that a node may make.
const RETRY_RATIO: f64 = 0.1;
/// Burst of the retry budget, as the number of engines whose running requests a node may retry at
/// once. Most requests on an engine come through its home, so a crash fails them all on one node.
const RETRY_BURST_ENGINES: u32 = 2;

impl BenchNode {
    /// Creates a node that has just started and considers all of `ids` alive.
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
            known_nodes: ids.iter().copied().collect(),
        };
        node.apply_known_nodes(ClockTime::ZERO);
        node
    }

    /// Passes the nodes considered alive to the route table and the limiter.
    pub(crate) fn apply_known_nodes(&mut self, now: ClockTime) {
        let nodes: Vec<NodeId> = self.known_nodes.iter().copied().collect();
        self.table.set_nodes(&nodes);
        self.limiter.set_nodes(&nodes, now);
    }

    /// Sets a customer's limit when it is first seen; on a real node the configuration does.
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

/// Returns the key of a customer by its index.
pub(crate) fn customer_key(customer: usize) -> CustomerKey {
    CustomerKey::from_name(&format!("customer-{customer}"))
}

/// Returns the settings of a node's route table under `policy`.
fn route_settings(
    node: NodeId,
    settings: &BenchSettings,
    spec: &WorkloadSpec,
    policy: PolicyKind,
) -> RouteSettings {
    let features = match policy {
        PolicyKind::Homes(features) => features,
        _ => FeatureSet::NONE,
    };
    let defaults = RouteSettings::default();
    RouteSettings {
        node,
        mean_margin: settings.mean_margin.unwrap_or(defaults.mean_margin),
        shared_prefix_block: if features.plans {
            defaults.shared_prefix_block
        } else {
            0
        },
        two_choices: features.two_choices,
        chat_entries: if features.hints { spec.chat_entries } else { 0 },
        prefix_entries: if features.hints { spec.chat_entries } else { 0 },
        max_context_wait: if features.holds {
            defaults.max_context_wait
        } else {
            Duration::ZERO
        },
        max_capacity_wait: if features.holds {
            defaults.max_capacity_wait
        } else {
            Duration::ZERO
        },
        ..defaults
    }
}
