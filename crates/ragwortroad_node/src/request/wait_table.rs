use std::collections::BTreeMap;

use ragwortroad_types::prelude::*;

use crate::request::pending_attempt::PendingAttempt;

/// Attempts that wait for a home's answer, by the number of their `Ask` message, and attempts on
/// hold.
///
/// Invariant: every attempt in it gets exactly one reply, at the latest when its wait times out.
#[derive(Debug, Default)]
pub(crate) struct WaitTable {
    slots: BTreeMap<u64, SlotWait>,
    /// Attempts on hold until an endpoint worth waiting for may have capacity, by the time of the
    /// next try.
    held: BTreeMap<(ClockTime, u64), PendingAttempt>,
    next_held: u64,
}

/// An attempt that waits for a slot.
#[derive(Debug)]
pub(crate) struct SlotWait {
    pub(crate) attempt: PendingAttempt,
    /// The endpoint that the slot is for.
    pub(crate) endpoint: EndpointId,
    /// The home that was asked.
    pub(crate) home: NodeId,
    /// When it was asked.
    pub(crate) asked_at: ClockTime,
}

impl WaitTable {
    /// Adds a wait.
    pub(crate) fn add(&mut self, question: u64, wait: SlotWait) {
        self.slots.insert(question, wait);
    }

    /// Removes and returns the wait for `question` if `home` was asked.
    pub(crate) fn take(&mut self, question: u64, home: NodeId) -> Option<SlotWait> {
        let asked_home = self.slots.get(&question)?.home;
        if asked_home != home {
            return None;
        }
        self.slots.remove(&question)
    }

    /// Removes and returns the waits that began before `limit` or whose home `is_gone`.
    pub(crate) fn take_overdue(
        &mut self,
        limit: ClockTime,
        is_gone: impl Fn(NodeId) -> bool,
    ) -> Vec<(u64, SlotWait)> {
        let is_overdue = |wait: &SlotWait| wait.asked_at < limit || is_gone(wait.home);
        let numbers: Vec<u64> = self
            .slots
            .iter()
            .filter(|(_, wait)| is_overdue(wait))
            .map(|(number, _)| *number)
            .collect();
        let remove = |number: u64| Some((number, self.slots.remove(&number)?));
        numbers.into_iter().filter_map(remove).collect()
    }

    /// Puts an attempt on hold until `due`.
    pub(crate) fn hold(&mut self, attempt: PendingAttempt, due: ClockTime) {
        self.next_held += 1;
        self.held.insert((due, self.next_held), attempt);
    }

    /// Returns when the next attempt's hold ends.
    pub(crate) fn next_due(&self) -> Option<ClockTime> {
        self.held.first_key_value().map(|((due, _), _)| *due)
    }

    /// Removes and returns the attempts whose hold has ended, in order of their due times.
    pub(crate) fn take_due(&mut self, now: ClockTime) -> Vec<PendingAttempt> {
        let later = self.held.split_off(&(ClockTime(now.0 + 1), 0));
        let due = std::mem::replace(&mut self.held, later);
        due.into_values().collect()
    }

    /// Returns the number of attempts waiting or on hold.
    pub(crate) fn len(&self) -> usize {
        self.slots.len() + self.held.len()
    }
}
