use std::{
    collections::BTreeMap,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::{
    CustomerTag,
    queue_ticket::QueueTicket, //
};

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedRequest {
    /// When the queue timeout expires.
    pub(crate) until: ClockTime,
    pub(crate) queue_timeout: Duration,
    /// Work of the request, in seconds of a slot, or one if unknown.
    pub(crate) work: f64,
}

/// Queued requests of one rank, by customer.
///
/// The customer with the least use per weight is served next, and its requests in order of arrival.
/// The uses are inputs, since a customer has one use for all ranks.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    /// Invariant: no customer's queue is empty.
    customers: BTreeMap<Option<CustomerTag>, BTreeMap<QueueTicket, QueuedRequest>>,
    length: usize,
}

impl FairQueue {
    pub(crate) fn insert(
        &mut self,
        customer: Option<CustomerTag>,
        ticket: QueueTicket,
        request: QueuedRequest,
    ) {
        let queue = self.customers.entry(customer).or_default();
        if queue.insert(ticket, request).is_none() {
            self.length += 1;
        }
    }

    pub(crate) fn remove(
        &mut self,
        customer: Option<CustomerTag>,
        ticket: QueueTicket,
    ) -> Option<QueuedRequest> {
        let queue = self.customers.get_mut(&customer)?;
        let removed = queue.remove(&ticket)?;
        if queue.is_empty() {
            self.customers.remove(&customer);
        }
        self.length -= 1;
        Some(removed)
    }

    pub(crate) fn len(&self) -> usize {
        self.length
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// All queued requests, those of one customer in order of arrival.
    pub(crate) fn requests(&self) -> impl Iterator<Item = (QueueTicket, &QueuedRequest)> {
        let requests = self.customers.values().flatten();
        requests.map(|(&ticket, request)| (ticket, request))
    }

    /// Returns the request that is served next, among those of customers for which `is_served` holds.
    ///
    /// `relative_use` returns the use per weight of a customer, if it used `work` more.
    pub(crate) fn first(
        &self,
        is_served: impl Fn(Option<CustomerTag>) -> bool,
        relative_use: impl Fn(Option<CustomerTag>, f64) -> f64,
    ) -> Option<QueueTicket> {
        let served = self.customers.iter();
        let served = served.filter(|(customer, _)| is_served(**customer));
        let heads = served.filter_map(|(&customer, queue)| {
            let (&ticket, _) = queue.first_key_value()?;
            Some((relative_use(customer, 0.0), ticket))
        });
        let order = |left: &(f64, QueueTicket), right: &(f64, QueueTicket)| {
            left.0.total_cmp(&right.0).then(left.1.cmp(&right.1))
        };
        heads.min_by(order).map(|(_, ticket)| ticket)
    }

    /// Returns the request that is served last: the newest one of the customer that would be
    /// furthest above the others if all its queued requests were served.
    pub(crate) fn last(
        &self,
        relative_use: impl Fn(Option<CustomerTag>, f64) -> f64,
    ) -> Option<(QueueTicket, QueuedRequest)> {
        let tails = self.customers.iter().filter_map(|(&customer, queue)| {
            let (&ticket, &request) = queue.last_key_value()?;
            let use_after = match self.customers.len() {
                1 => 0.0,
                _ => relative_use(customer, queue.values().map(|request| request.work).sum()),
            };
            Some((use_after, ticket, request))
        });
        let last =
            tails.max_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
        last.map(|(_, ticket, request)| (ticket, request))
    }
}
