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
    /// The share it was told last, and when.
    given: Option<(ShareEntry, ClockTime)>,
}

impl DemandKeeper {
    /// Takes in one node's demand.
    pub(crate) fn observe(&mut self, node: NodeId, entry: DemandEntry, now: ClockTime) {
        self.demands
            .entry(entry.customer)
            .or_default()
            .entry(node)
            .and_modify(|demand| (demand.entry, demand.heard_at) = (entry, now))
            .or_insert(NodeDemand {
                entry,
                heard_at: now,
                given: None,
            });
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

    /// Divides one customer's rate of `requests_per_s` and its `concurrent` places among the nodes.
    ///
    /// Where there is enough for all, each node gets what it wants, and what is left goes by the
    /// square root of demand, as chance makes demand vary; where there is not, each gets the same
    /// part of what it wants.
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
        let places: Vec<f64> = entries().map(|entry| f64::from(entry.concurrent)).collect();
        let rates = portions(&rates, requests_per_s, RATE_GRAIN);
        let places = portions(&places, f64::from(concurrent), PLACE_GRAIN);
        let whole = requests_per_s.max(f64::MIN_POSITIVE);
        let shares = rates.iter().zip(&places).map(|(rate, place)| ShareEntry {
            customer,
            rate_share: (rate / whole * f64::from(u16::MAX)).floor() as u16,
            concurrent: place.floor().min(f64::from(u16::MAX)) as u16,
        });
        nodes.keys().copied().zip(shares).collect()
    }

    /// Whether `node` should be told of `share`; if so, it counts as told.
    pub(crate) fn is_news(
        &mut self,
        node: NodeId,
        share: ShareEntry,
        now: ClockTime,
        tell_every: Duration,
    ) -> bool {
        let Some(demand) = self
            .demands
            .get_mut(&share.customer)
            .and_then(|nodes| nodes.get_mut(&node))
        else {
            return false;
        };
        let news = demand.given.is_none_or(|(given, at)| {
            let rates = given.rate_share.abs_diff(share.rate_share);
            let places = given.concurrent.abs_diff(share.concurrent);
            let differs = rates > given.rate_share / 4 || places > given.concurrent / 4;
            differs || now.since(at) >= tell_every
        });
        if news {
            demand.given = Some((share, now));
        }
        news
    }
}

/// The least demand that a digest can tell of.
const RATE_GRAIN: f64 = 0.1;
const PLACE_GRAIN: f64 = 1.0;

/// Divides `whole` among those who want `wants`, told in steps of `grain`.
fn portions(wants: &[f64], whole: f64, grain: f64) -> Vec<f64> {
    let wanted: f64 = wants.iter().sum();
    if wanted > whole {
        return wants.iter().map(|want| want / wanted * whole).collect();
    }
    let roots: f64 = wants.iter().map(|want| (want + grain).sqrt()).sum();
    let spare = whole - wanted;
    wants
        .iter()
        .map(|want| want + spare * (want + grain).sqrt() / roots.max(f64::MIN_POSITIVE))
        .collect()
}
