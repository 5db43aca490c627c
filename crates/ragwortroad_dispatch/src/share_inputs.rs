use std::collections::BTreeMap;

use crate::{
    CustomerLoad,
    CustomerTag, //
};

/// Customers' uses of one service, as input to [`CustomerShares::of`](crate::CustomerShares::of).
#[derive(Clone, Debug, Default)]
pub struct ShareInputs {
    /// Uses of all edges, this edge's included.
    pub totals: Vec<CustomerLoad>,
    /// Slots that customers would use at this edge if there were room.
    pub own: BTreeMap<CustomerTag, f64>,
    /// Requests in flight at this edge of customers in `totals`.
    pub own_running: u32,
    /// Weights of customers; 1 for all others.
    ///
    /// Invariant: all are positive.
    pub weights: BTreeMap<CustomerTag, f64>,
}

/// Part of a customer's share that is equal at all edges; the rest is proportional to what it wants
/// at each.
///
/// Without it, a customer whose requests have just moved to an edge would come last there until the
/// sums tell of it.
const EQUAL_PART_RATIO: f64 = 0.2;

impl ShareInputs {
    /// Returns the scales of customers' uses at this edge, for
    /// [`AdmissionGate::set_scales`](crate::AdmissionGate::set_scales).
    ///
    /// A customer with many of its requests at this edge may use more here than one that spreads
    /// them over all edges.
    pub fn scales(&self, edges: u32) -> BTreeMap<CustomerTag, f64> {
        let mut scales = self.weights.clone();
        for total in &self.totals {
            let spread = self.mixed_part(total, edges) * f64::from(edges.max(1));
            scales.insert(total.customer, self.weight(total.customer) * spread);
        }
        scales
    }

    /// Part of a customer's share that it may use at this edge, from 0 to 1.
    pub(crate) fn mixed_part(&self, total: &CustomerLoad, edges: u32) -> f64 {
        let equal_part = 1.0 / f64::from(edges.max(1));
        EQUAL_PART_RATIO * equal_part + (1.0 - EQUAL_PART_RATIO) * self.own_part(total)
    }

    /// Part of what a customer wants that it wants at this edge, from 0 to 1.
    pub(crate) fn own_part(&self, total: &CustomerLoad) -> f64 {
        let own_wanted = self.own.get(&total.customer).unwrap_or(&0.0);
        (own_wanted / f64::from(total.wanted.max(1))).min(1.0)
    }

    /// Weight of a customer.
    pub(crate) fn weight(&self, customer: CustomerTag) -> f64 {
        self.weights.get(&customer).copied().unwrap_or(1.0)
    }
}
