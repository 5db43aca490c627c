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

/// Collects the demand of all nodes for the customers that one node coordinates, and divides their
/// limits.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandCoordinator {
    demands: BTreeMap<CustomerKey, BTreeMap<NodeId, NodeDemand>>,
}

/// One node's demand for one customer.
#[derive(Clone, Copy, Debug)]
struct NodeDemand {
    entry: DemandEntry,
    received_at: ClockTime,
    /// The share last sent to the node, and when.
    last_sent: Option<(ShareEntry, ClockTime)>,
}

impl DemandCoordinator {
    /// Records one node's demand.
    pub(crate) fn observe(&mut self, node: NodeId, entry: DemandEntry, now: ClockTime) {
        self.demands
            .entry(entry.customer)
            .or_default()
            .entry(node)
            .and_modify(|demand| (demand.entry, demand.received_at) = (entry, now))
            .or_insert(NodeDemand {
                entry,
                received_at: now,
                last_sent: None,
            });
    }

    /// Removes demand that was received more than `ttl` ago.
    pub(crate) fn expire(&mut self, now: ClockTime, ttl: Duration) {
        let horizon = now.before(ttl);
        for nodes in self.demands.values_mut() {
            nodes.retain(|_, demand| demand.received_at >= horizon);
        }
        self.demands.retain(|_, nodes| !nodes.is_empty());
    }

    /// Returns the customers with recorded demand.
    pub(crate) fn customers(&self) -> Vec<CustomerKey> {
        self.demands.keys().copied().collect()
    }

    /// Divides a customer's rate of `requests_per_s` and its `concurrent` requests among the nodes.
    ///
    /// Where the limit covers all demand, each node gets its demand, and the rest is divided by the
    /// square root of demand, because random arrivals vary by that much. Where it does not, each
    /// node gets the same fraction of its demand.
    ///
    /// Invariant: the shares add up to no more than the whole, whatever the demands.
    pub(crate) fn divide(
        &self,
        customer: CustomerKey,
        requests_per_s: f64,
        concurrent: u32,
    ) -> Vec<(NodeId, ShareEntry)> {
        let Some(nodes) = self.demands.get(&customer) else {
            return Vec::new();
        };
        let entries = || nodes.values().map(|demand| demand.entry);
        let rates: Vec<f64> = entries()
            .map(|entry| f64::from(entry.requests_per_10_s) / 10.0)
            .collect();
        let concurrency: Vec<f64> = entries().map(|entry| f64::from(entry.concurrent)).collect();
        let rates = divide_among(&rates, requests_per_s, RATE_STEP);
        let concurrency = divide_among(&concurrency, f64::from(concurrent), CONCURRENCY_STEP);
        let whole = requests_per_s.max(f64::MIN_POSITIVE);
        let shares = rates
            .iter()
            .zip(&concurrency)
            .map(|(rate, slots)| ShareEntry {
                customer,
                rate_share: (rate / whole * f64::from(u16::MAX)).floor() as u16,
                concurrent: slots.floor().min(f64::from(u16::MAX)) as u16,
            });
        nodes.keys().copied().zip(shares).collect()
    }

    /// Returns whether `share` should be sent to `node`, and if so records it as sent.
    pub(crate) fn should_send(
        &mut self,
        node: NodeId,
        share: ShareEntry,
        now: ClockTime,
        resend_interval: Duration,
    ) -> bool {
        let Some(demand) = self
            .demands
            .get_mut(&share.customer)
            .and_then(|nodes| nodes.get_mut(&node))
        else {
            return false;
        };
        let should_send = demand.last_sent.is_none_or(|(last_sent, at)| {
            let rates = last_sent.rate_share.abs_diff(share.rate_share);
            let concurrency = last_sent.concurrent.abs_diff(share.concurrent);
            let has_changed =
                rates > last_sent.rate_share / 4 || concurrency > last_sent.concurrent / 4;
            has_changed || now.since(at) >= resend_interval
        });
        if should_send {
            demand.last_sent = Some((share, now));
        }
        should_send
    }
}

/// The smallest demand that a digest can express.
const RATE_STEP: f64 = 0.1;
const CONCURRENCY_STEP: f64 = 1.0;

/// Divides `whole` among `demands`, which are reported in multiples of `step`.
fn divide_among(demands: &[f64], whole: f64, step: f64) -> Vec<f64> {
    let demanded: f64 = demands.iter().sum();
    if demanded > whole {
        return demands
            .iter()
            .map(|demand| demand / demanded * whole)
            .collect();
    }
    let roots: f64 = demands.iter().map(|demand| (demand + step).sqrt()).sum();
    let spare = whole - demanded;
    demands
        .iter()
        .map(|demand| demand + spare * (demand + step).sqrt() / roots.max(f64::MIN_POSITIVE))
        .collect()
}
