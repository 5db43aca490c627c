use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    time::Duration, //
};

use ragwortroad_types::{
    ClockTime,
    LoadReport,
    NodeId, //
};

use crate::{
    CustomerKey,
    SlotId, //
};

/// The home node's exact account of one endpoint's requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotLedger {
    /// Slots granted and not yet released.
    slots: BTreeMap<SlotId, SlotRecord>,
    /// Slots held by each customer. Invariant: no count is zero, and their sum is the number of
    /// slots.
    customers: BTreeMap<CustomerKey, u32>,
    /// Customers that asked recently after they were refused everywhere, with the time.
    starved: BTreeMap<CustomerKey, ClockTime>,
    /// Grant and end times of recently ended slots, to know which of them a late report still
    /// includes.
    ended: VecDeque<(ClockTime, ClockTime)>,
    /// Requests admitted by an earlier home, according to the endpoint's reports.
    inherited: u32,
    /// For each of the last reports, the slots without a request in it.
    unmatched: [u32; UNMATCHED_REPORTS],
    /// Moving average of the time that a slot is held, in milliseconds.
    mean_slot_ms: f64,
}

/// A granted slot.
#[derive(Clone, Copy, Debug)]
struct SlotRecord {
    requester: NodeId,
    customer: CustomerKey,
    granted_at: ClockTime,
    /// When the slot expires if it is not released.
    ends_at: ClockTime,
}

/// How long a customer that was refused everywhere counts among those that share an endpoint.
const STARVED_WINDOW: Duration = Duration::from_secs(2);

/// Consecutive reports without a slot's request after which the slot counts as ended. A request
/// that is still on its way is missing from one report.
const UNMATCHED_REPORTS: usize = 3;

/// How long ended slots are kept; older reports are not used.
const ENDED_RETENTION: Duration = Duration::from_secs(5);

impl SlotLedger {
    /// Returns the requests at the endpoint that count for admission.
    pub(crate) fn load(&self) -> u32 {
        let stale = self.unmatched.iter().copied().min().unwrap_or(0);
        (self.slots.len() as u32).saturating_sub(stale) + self.inherited
    }

    /// Returns the load without the slots of `unresponsive` nodes, whose requests may have ended
    /// with them.
    pub(crate) fn load_excluding(&self, unresponsive: &BTreeSet<NodeId>) -> u32 {
        if unresponsive.is_empty() {
            return self.load();
        }
        let records = self.slots.values();
        let responsive = records.filter(|record| !unresponsive.contains(&record.requester));
        self.load().min(responsive.count() as u32 + self.inherited)
    }

    pub(crate) fn has_slots_of(&self, requester: NodeId) -> bool {
        self.slots
            .values()
            .any(|record| record.requester == requester)
    }

    /// Returns the slots of `customer`, and the number of customers that would hold slots if it
    /// held one.
    ///
    /// Customers that were recently refused everywhere count too. Otherwise a customer that holds
    /// every slot would share with nobody, and take each slot that ends before the others ask
    /// again.
    pub(crate) fn share_of(&self, customer: CustomerKey, now: ClockTime) -> (u32, u32) {
        let own = self.customers.get(&customer).copied().unwrap_or(0);
        let holders = self.customers.keys();
        let holders = holders.filter(|other| **other != customer).count();
        let is_waiting = |(other, at): &(&CustomerKey, &ClockTime)| {
            let is_new = **other != customer && !self.customers.contains_key(other);
            is_new && now.since(**at) < STARVED_WINDOW
        };
        let waiting = self.starved.iter().filter(is_waiting).count();
        (own, (holders + waiting) as u32 + 1)
    }

    /// Records that `customer` asked after it was refused everywhere.
    pub(crate) fn record_starved(&mut self, customer: CustomerKey, now: ClockTime) {
        self.starved.retain(|_, at| now.since(*at) < STARVED_WINDOW);
        self.starved.insert(customer, now);
    }

    /// Whether any customer other than `customer` is starved.
    pub(crate) fn has_other_starved(&self, customer: CustomerKey, now: ClockTime) -> bool {
        let mut starved = self.starved.iter();
        starved.any(|(other, at)| *other != customer && now.since(*at) < STARVED_WINDOW)
    }

    /// Returns the mean time between two slots that end, at the present load.
    pub(crate) fn mean_time_between_ends(&self) -> Duration {
        Duration::from_millis((self.mean_slot_ms / f64::from(self.load().max(1))) as u64)
    }

    /// Resets the account for a new home: all reported load counts as admitted by an earlier home.
    pub(crate) fn reset_to_inherited(&mut self, load: u32) {
        *self = Self {
            inherited: load,
            ..Self::default()
        };
    }

    pub(crate) fn grant(
        &mut self,
        slot: SlotId,
        requester: NodeId,
        customer: CustomerKey,
        now: ClockTime,
        ttl: Duration,
    ) {
        let record = SlotRecord {
            requester,
            customer,
            granted_at: now,
            ends_at: now.after(ttl),
        };
        self.slots.insert(slot, record);
        *self.customers.entry(customer).or_insert(0) += 1;
    }

    /// Ends `slot`; returns `false` if it has already ended.
    pub(crate) fn end(&mut self, slot: SlotId, now: ClockTime) -> bool {
        let Some(record) = self.slots.remove(&slot) else {
            return false;
        };
        if let Some(count) = self.customers.get_mut(&record.customer) {
            *count -= 1;
            if *count == 0 {
                self.customers.remove(&record.customer);
            }
        }
        const EWMA_WEIGHT: f64 = 0.1;
        let life = now.since(record.granted_at).as_millis() as f64;
        self.mean_slot_ms += EWMA_WEIGHT * (life - self.mean_slot_ms);
        self.ended.push_back((record.granted_at, now));
        true
    }

    /// Lets `slot` expire after at most `ttl`.
    pub(crate) fn expire_within(&mut self, slot: SlotId, now: ClockTime, ttl: Duration) -> bool {
        let Some(record) = self.slots.get_mut(&slot) else {
            return false;
        };
        record.ends_at = record.ends_at.min(now.after(ttl));
        true
    }

    /// Lets all slots of `requester` expire after at most `ttl`.
    pub(crate) fn expire_all_within(&mut self, requester: NodeId, now: ClockTime, ttl: Duration) {
        for record in self.slots.values_mut() {
            if record.requester == requester {
                record.ends_at = record.ends_at.min(now.after(ttl));
            }
        }
    }

    /// Ends expired slots.
    pub(crate) fn sweep(&mut self, now: ClockTime) {
        let expired: Vec<SlotId> = self
            .slots
            .iter()
            .filter(|(_, record)| record.ends_at <= now)
            .map(|(slot, _)| *slot)
            .collect();
        for slot in expired {
            self.end(slot, now);
        }
        let horizon = now.before(ENDED_RETENTION);
        while self
            .ended
            .front()
            .is_some_and(|(_, ended)| *ended < horizon)
        {
            self.ended.pop_front();
        }
    }

    /// Sets the inherited load from the endpoint's report as of `measured_at`: the requests that
    /// the slots of that time do not explain.
    ///
    /// With `handover_reported` it only ever lowers the inherited load, since all later requests
    /// are known exactly.
    pub(crate) fn observe(
        &mut self,
        report: LoadReport,
        measured_at: ClockTime,
        handover_reported: bool,
    ) {
        let running = self
            .slots
            .values()
            .filter(|record| record.granted_at <= measured_at)
            .count();
        let ended = self
            .ended
            .iter()
            .filter(|(granted, ended)| *granted <= measured_at && *ended > measured_at)
            .count();
        let reported = report.running.saturating_add(report.queued);
        let known = (running + ended) as u32;
        let unexplained = reported.saturating_sub(known);
        // A slot whose release was lost, or whose node restarted unnoticed, would count forever. It
        // would close this endpoint early and, as part of the fleet mean, raise the bound of all
        // others.
        self.unmatched.rotate_left(1);
        self.unmatched[UNMATCHED_REPORTS - 1] = known.saturating_sub(reported);
        self.inherited = if handover_reported {
            self.inherited.min(unexplained)
        } else {
            unexplained
        };
    }
}
