use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use ragwortroad_types::prelude::*;

use crate::OrderKey;

/// Limits on loading weights from the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadRate {
    /// Sustained rate in megabytes per second.
    pub mb_per_s: u32,
    /// Megabytes that may be requested at once after an idle period.
    pub burst_mb: u32,
    /// Maximum number of concurrent loads.
    pub max_concurrent: usize,
}

impl Default for LoadRate {
    fn default() -> Self {
        Self {
            mb_per_s: 500,
            burst_mb: 20_000,
            max_concurrent: 4,
        }
    }
}

/// A priority queue of model loads, with a token bucket that limits the rate of the weight store.
///
/// In any `t` seconds, the loads started add up to at most `mb_per_s * t` megabytes plus the burst,
/// or plus one load that is larger than the burst.
#[derive(Clone, Debug)]
pub struct LoadQueue {
    rate: LoadRate,
    waiting: BTreeMap<OrderKey, WaitingLoad>,
    running: BTreeSet<OrderKey>,
    /// Available tokens in thousandths of a megabyte; negative after a load larger than the burst.
    available: i64,
    refilled_at: ClockTime,
    arrivals: u64,
}

#[derive(Clone, Copy, Debug)]
struct WaitingLoad {
    urgency: u32,
    size_mb: u32,
    /// Among loads of equal urgency, the one that arrived first starts first.
    arrival: u64,
}

impl LoadQueue {
    /// Creates an empty queue with a full bucket.
    pub fn new(rate: LoadRate, now: ClockTime) -> Self {
        Self {
            rate,
            waiting: BTreeMap::new(),
            running: BTreeSet::new(),
            available: i64::from(rate.burst_mb) * 1000,
            refilled_at: now,
            arrivals: 0,
        }
    }

    /// Adds a load, or updates the urgency of a waiting one. Has no effect on a running load.
    pub fn enqueue(&mut self, key: OrderKey, size_mb: u32, urgency: u32) {
        if self.running.contains(&key) {
            return;
        }
        self.arrivals += 1;
        let arrival = self.arrivals;
        let load = self.waiting.entry(key).or_insert(WaitingLoad {
            urgency,
            size_mb,
            arrival,
        });
        load.urgency = urgency;
    }

    /// Removes a load that is finished or no longer needed.
    pub fn remove(&mut self, key: &OrderKey) {
        self.waiting.remove(key);
        self.running.remove(key);
    }

    /// Removes every waiting load for which `keep` returns false.
    pub fn retain_waiting(&mut self, mut keep: impl FnMut(&OrderKey) -> bool) {
        self.waiting.retain(|key, _| keep(key));
    }

    /// The number of waiting loads.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The running loads.
    pub fn running(&self) -> &BTreeSet<OrderKey> {
        &self.running
    }

    /// Starts the most urgent load that `may_start` accepts, if the rate allows it at `now`.
    ///
    /// Only the most urgent load is checked against the rate: if smaller loads could overtake it, a
    /// large load would starve.
    pub fn start_next(
        &mut self,
        now: ClockTime,
        mut may_start: impl FnMut(&OrderKey) -> bool,
    ) -> Option<OrderKey> {
        self.refill(now);
        if self.running.len() >= self.rate.max_concurrent {
            return None;
        }
        let allowed = self.waiting.iter().filter(|(key, _)| may_start(key));
        let priority = |load: &WaitingLoad| (load.urgency, std::cmp::Reverse(load.arrival));
        let (key, load) = allowed.max_by_key(|(_, load)| priority(load))?;
        let size = i64::from(load.size_mb) * 1000;
        if self.available < size.min(self.burst()) {
            return None;
        }
        let key = key.clone();
        self.available -= size;
        self.waiting.remove(&key);
        self.running.insert(key.clone());
        Some(key)
    }

    fn refill(&mut self, now: ClockTime) {
        let elapsed_ms = now.since(self.refilled_at).as_millis() as i64;
        self.refilled_at = self.refilled_at.max(now);
        let refilled = elapsed_ms.saturating_mul(i64::from(self.rate.mb_per_s));
        self.available = self.available.saturating_add(refilled).min(self.burst());
    }

    fn burst(&self) -> i64 {
        i64::from(self.rate.burst_mb) * 1000
    }
}
