use std::{
    collections::BTreeMap,
    time::Duration, //
};

use ragwortroad_types::{
    ClockTime,
    NodeId, //
};

use crate::{
    CustomerKey,
    CustomerLimit,
    DemandDigest,
    LimitAnswer,
    LimiterSettings,
    ShareDigest,
    limit::{
        customer_entry::CustomerEntry,
        demand_coordinator::DemandCoordinator, //
    },
    table::endpoint_ranking::score, //
};

/// Enforces fleet-wide limits of customers at one node.
///
/// Every customer has a *coordinator*: the node that a hash of the customer selects. About once a
/// second a node reports the demand of its customers to their coordinators ([`Self::demands`]). A
/// coordinator divides the limit in proportion to the demands and replies with shares
/// ([`Self::shares`]). No request waits for a message. A small even part of each limit needs no
/// share, so that every node can serve a customer, also while the coordinator is unavailable.
#[derive(Clone, Debug)]
pub struct CustomerLimiter {
    settings: LimiterSettings,
    nodes: Vec<NodeId>,
    entries: BTreeMap<CustomerKey, CustomerEntry>,
    coordinator: DemandCoordinator,
}

/// The longest wait given to a client at a node that has no share of the customer's limit yet.
const MAX_WAIT_WITHOUT_SHARE: Duration = Duration::from_secs(2);

/// How long a client waits when the customer has reached its concurrency limit at this node.
const CONCURRENCY_WAIT: Duration = Duration::from_millis(500);

impl CustomerLimiter {
    /// Creates a limiter without customers, for a fleet of only its own node.
    pub fn new(settings: LimiterSettings) -> Self {
        Self {
            nodes: vec![settings.node],
            settings,
            entries: BTreeMap::new(),
            coordinator: DemandCoordinator::default(),
        }
    }

    /// Adds a customer or changes its limit.
    pub fn set_limit(&mut self, customer: CustomerKey, limit: CustomerLimit, now: ClockTime) {
        let entry = self
            .entries
            .entry(customer)
            .or_insert_with(|| CustomerEntry::new(limit, now));
        entry.limit = limit;
        entry.update_allowance(&self.settings, self.nodes.len(), now);
    }

    /// Removes a customer; its requests are refused from then on.
    pub fn remove(&mut self, customer: CustomerKey) {
        self.entries.remove(&customer);
    }

    /// Sets the nodes among which limits are divided.
    pub fn set_nodes(&mut self, nodes: &[NodeId], now: ClockTime) {
        self.nodes = nodes.to_vec();
        for entry in self.entries.values_mut() {
            entry.update_allowance(&self.settings, nodes.len(), now);
        }
    }

    /// Decides whether `customer` may run one more request of about `tokens` tokens. An unknown
    /// customer may not.
    pub fn admit(&mut self, customer: CustomerKey, tokens: u32, now: ClockTime) -> LimitAnswer {
        let Some(entry) = self.entries.get_mut(&customer) else {
            let retry_after = Duration::from_secs(1);
            return LimitAnswer::Refused { retry_after };
        };
        entry.update_allowance(&self.settings, self.nodes.len(), now);
        entry.demand_count += 1;
        entry.peak_concurrency = entry.peak_concurrency.max(entry.running + 1);
        let mut wait = entry.requests.wait_for(1.0, now);
        wait = wait.max(entry.tokens.wait_for(f64::from(tokens), now));
        if entry.running >= entry.max_concurrent {
            wait = wait.max(CONCURRENCY_WAIT);
        }
        if entry.share.is_none() {
            // The coordinator learns of this request within a second or two, and may then send a
            // share.
            wait = wait.min(MAX_WAIT_WITHOUT_SHARE);
        }
        if !wait.is_zero() {
            return LimitAnswer::Refused { retry_after: wait };
        }
        entry.requests.take(1.0);
        entry.tokens.take(f64::from(tokens));
        entry.running += 1;
        let priority = entry.limit.priority;
        LimitAnswer::Admitted { priority }
    }

    /// Ends an admitted request that was charged `estimated` tokens and used `used`.
    pub fn finish(&mut self, customer: CustomerKey, estimated: u32, used: u32) {
        if let Some(entry) = self.entries.get_mut(&customer) {
            entry.running = entry.running.saturating_sub(1);
            entry.tokens.take(f64::from(used) - f64::from(estimated));
        }
    }

    /// Returns the demand to send to each coordinator; call about once a second. Where this node is
    /// itself a coordinator, its own demand is merged at once.
    pub fn demands(&mut self, now: ClockTime) -> BTreeMap<NodeId, DemandDigest> {
        let mut digests: BTreeMap<NodeId, DemandDigest> = BTreeMap::new();
        for (customer, entry) in &mut self.entries {
            let nodes = self.nodes.len();
            let Some(demand) = entry.next_demand(*customer, &self.settings, nodes, now) else {
                continue;
            };
            if let Some(coordinator) = coordinator_of(&self.nodes, *customer) {
                digests.entry(coordinator).or_default().entries.push(demand);
            }
        }
        if let Some(own) = digests.remove(&self.settings.node) {
            self.merge_demand(self.settings.node, &own, now);
        }
        digests
    }

    /// Merges the demand that another node sent to this coordinator.
    pub fn merge_demand(&mut self, node: NodeId, digest: &DemandDigest, now: ClockTime) {
        for entry in &digest.entries {
            self.coordinator.observe(node, *entry, now);
        }
    }

    /// Returns the shares that this node assigns as coordinator; call about once a second.
    pub fn shares(&mut self, now: ClockTime) -> BTreeMap<NodeId, ShareDigest> {
        self.coordinator.expire(now, self.settings.demand_ttl);
        let mut digests: BTreeMap<NodeId, ShareDigest> = BTreeMap::new();
        for customer in self.coordinator.customers() {
            let Some(entry) = self.entries.get(&customer) else {
                continue;
            };
            let limit = &entry.limit;
            let concurrency = entry.divisible_concurrency(&self.settings, self.nodes.len());
            let divisible_rate = limit.requests_per_s * (1.0 - self.settings.even_share);
            for (node, share) in self
                .coordinator
                .divide(customer, divisible_rate, concurrency)
            {
                if self
                    .coordinator
                    .should_send(node, share, now, self.settings.resend_interval)
                {
                    digests.entry(node).or_default().entries.push(share);
                }
            }
        }
        if let Some(own) = digests.remove(&self.settings.node) {
            self.merge_share(&own, now);
        }
        digests
    }

    /// Applies the shares that a coordinator assigned to this node.
    pub fn merge_share(&mut self, digest: &ShareDigest, now: ClockTime) {
        let ends_at = now.after(self.settings.share_ttl);
        for share in &digest.entries {
            if let Some(entry) = self.entries.get_mut(&share.customer) {
                entry.share = Some((*share, ends_at));
                entry.update_allowance(&self.settings, self.nodes.len(), now);
            }
        }
    }

    /// Returns the number of the customer's requests in flight through this node.
    pub fn running(&self, customer: CustomerKey) -> u32 {
        self.entries.get(&customer).map_or(0, |entry| entry.running)
    }
}

/// Returns the node that divides `customer`'s limit.
fn coordinator_of(nodes: &[NodeId], customer: CustomerKey) -> Option<NodeId> {
    nodes
        .iter()
        .max_by_key(|node| score(node.0, customer.0))
        .copied()
}
