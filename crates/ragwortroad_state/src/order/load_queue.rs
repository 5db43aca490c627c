use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use ragwortroad_types::prelude::*;

use crate::OrderKey;

/// The rate of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadRate {
    /// Megabytes a second.
    pub mb_per_s: u32,
    /// Megabytes that may be asked for at once after a pause.
    pub burst_mb: u32,
    /// Loads running at once.
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

/// Loads that wait for the weight store, the most needed first.
///
/// In any span of `t` seconds it lets at most `mb_per_s * t` megabytes start, and beyond that the
/// burst, or one load that is larger than the burst.
#[derive(Clone, Debug)]
pub struct LoadQueue {
    rate: LoadRate,
    waiting: BTreeMap<OrderKey, WaitingLoad>,
    running: BTreeSet<OrderKey>,
    /// What may be asked for now, in thousandths of a megabyte; below zero after a load larger
    /// than the burst.
    available: i64,
    refilled_at: ClockTime,
    arrivals: u64,
}

#[derive(Clone, Copy, Debug)]
struct WaitingLoad {
    urgency: u32,
    size_mb: u32,
    /// Among equally needed ones the first come goes first.
    arrival: u64,
}

impl LoadQueue {
    /// An empty queue with a full burst.
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

    /// Wants a load; again with another urgency where it changed. A running one stays.
    pub fn enqueue(&mut self, key: OrderKey, size_mb: u32, urgency: u32) {
        if self.running.contains(&key) {
            return;
        }
        self.arrivals += 1;
        let arrival = self.arrivals;
        let need = self.waiting.entry(key).or_insert(WaitingLoad {
            urgency,
            size_mb,
            arrival,
        });
        need.urgency = urgency;
    }

    /// Wants it no longer, or it is over.
    pub fn remove(&mut self, key: &OrderKey) {
        self.waiting.remove(key);
        self.running.remove(key);
    }

    /// Drops every waiting load for which `keep` is false.
    pub fn retain_waiting(&mut self, mut keep: impl FnMut(&OrderKey) -> bool) {
        self.waiting.retain(|key, _| keep(key));
    }

    /// Loads waiting.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Loads running.
    pub fn running(&self) -> &BTreeSet<OrderKey> {
        &self.running
    }

    /// Starts the most needed load that `may_start` lets pass, if the rate allows one now.
    ///
    /// Only the most needed one is weighed against the rate: letting a smaller one pass would
    /// starve a large one for ever.
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
        let order = |need: &WaitingLoad| (need.urgency, std::cmp::Reverse(need.arrival));
        let (key, need) = allowed.max_by_key(|(_, need)| order(need))?;
        let size = i64::from(need.size_mb) * 1000;
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
        let span = now.since(self.refilled_at).as_millis() as i64;
        self.refilled_at = self.refilled_at.max(now);
        let filled = span.saturating_mul(i64::from(self.rate.mb_per_s));
        self.available = self.available.saturating_add(filled).min(self.burst());
    }

    fn burst(&self) -> i64 {
        i64::from(self.rate.burst_mb) * 1000
    }
}
