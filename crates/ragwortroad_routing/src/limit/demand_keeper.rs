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
    DemandEntry,
    ShareEntry, //
};

/// The demand of all nodes for the customers one node keeps, and its division.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandKeeper {
    demands: BTreeMap<CustomerKey, BTreeMap<NodeId, NodeDemand>>,
}

/// One node's demand for one customer.
#[derive(Clone, Copy, Debug)]
struct NodeDemand {
    entry: DemandEntry,
    heard_at: ClockTime,
}

impl DemandKeeper {
    /// Takes in one node's demand.
    pub(crate) fn observe(&mut self, node: NodeId, entry: DemandEntry, now: ClockTime) {
        let heard_at = now;
        self.demands
            .entry(entry.customer)
            .or_default()
            .insert(node, NodeDemand { entry, heard_at });
    }

    /// Forgets demand older than `life`.
    pub(crate) fn expire(&mut self, now: ClockTime, life: Duration) {
        let horizon = now.before(life);
        for nodes in self.demands.values_mut() {
            nodes.retain(|_, demand| demand.heard_at >= horizon);
        }
        self.demands.retain(|_, nodes| !nodes.is_empty());
    }

    /// The customers kept here.
    pub(crate) fn customers(&self) -> Vec<CustomerKey> {
        self.demands.keys().copied().collect()
    }

    /// Divides one customer's `concurrent` places and its rate among the nodes, by their demand.
    ///
    /// Invariant: the shares add up to no more than the whole, whatever the demands.
    pub(crate) fn divide(
        &self,
        customer: CustomerKey,
        concurrent: u32,
    ) -> Vec<(NodeId, ShareEntry)> {
        let Some(nodes) = self.demands.get(&customer) else {
            return Vec::new();
        };
        let rates: Vec<u64> = nodes
            .values()
            .map(|demand| u64::from(demand.entry.requests_per_10_s) + 1)
            .collect();
        let places: Vec<u64> = nodes
            .values()
            .map(|demand| u64::from(demand.entry.concurrent) + 1)
            .collect();
        let rates = portions(&rates, u64::from(u16::MAX));
        let places = portions(&places, u64::from(concurrent.min(u32::from(u16::MAX))));
        nodes
            .keys()
            .zip(rates.iter().zip(&places))
            .map(|(node, (rate, place))| {
                let entry = ShareEntry {
                    customer,
                    rate_share: *rate as u16,
                    concurrent: *place as u16,
                };
                (*node, entry)
            })
            .collect()
    }
}

/// Divides `whole` in proportion to `weights`; what rounding leaves goes to the largest remainders,
/// the earlier of equals first.
fn portions(weights: &[u64], whole: u64) -> Vec<u64> {
    let sum: u64 = weights.iter().sum::<u64>().max(1);
    let mut parts: Vec<u64> = weights.iter().map(|weight| weight * whole / sum).collect();
    let left = whole - parts.iter().sum::<u64>();
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_by_key(|index| std::cmp::Reverse(weights[*index] * whole % sum));
    for index in order.into_iter().take(left as usize) {
        parts[index] += 1;
    }
    parts
}
