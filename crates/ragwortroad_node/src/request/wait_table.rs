use std::collections::BTreeMap;

use ragwortroad_types::prelude::*;

use crate::request::pending_attempt::PendingAttempt;

/// Attempts that wait for another node's answer, by the number of their question.
///
/// Invariant: every plan in it gets exactly one reply, at the latest when its time is over.
#[derive(Debug, Default)]
pub(crate) struct WaitTable {
    slots: BTreeMap<u64, SlotWait>,
    /// Attempts held until a place that is worth it may have room, by when to look again.
    held: BTreeMap<(ClockTime, u64), PendingAttempt>,
    next_held: u64,
}

/// An attempt that waits for a slot.
#[derive(Debug)]
pub(crate) struct SlotWait {
    /// The attempt.
    pub(crate) attempt: PendingAttempt,
    /// The endpoint asked for.
    pub(crate) endpoint: EndpointId,
    /// The home that was asked.
    pub(crate) home: NodeId,
    /// When it was asked.
    pub(crate) asked: ClockTime,
}

impl WaitTable {
    /// Starts a wait.
    pub(crate) fn add(&mut self, question: u64, wait: SlotWait) {
        self.slots.insert(question, wait);
    }

    /// Ends the wait for the answer of `home` to `question`.
    pub(crate) fn take(&mut self, question: u64, home: NodeId) -> Option<SlotWait> {
        let asked = self.slots.get(&question)?.home;
        if asked != home {
            return None;
        }
        self.slots.remove(&question)
    }

    /// Ends all waits that began before `limit`, and those for homes that `is_gone`.
    pub(crate) fn take_overdue(
        &mut self,
        limit: ClockTime,
        is_gone: impl Fn(NodeId) -> bool,
    ) -> Vec<(u64, SlotWait)> {
        let over = |wait: &SlotWait| wait.asked < limit || is_gone(wait.home);
        let numbers: Vec<u64> = self
            .slots
            .iter()
            .filter(|(_, wait)| over(wait))
            .map(|(number, _)| *number)
            .collect();
        let take = |number: u64| Some((number, self.slots.remove(&number)?));
        numbers.into_iter().filter_map(take).collect()
    }

    /// Holds an attempt until `due`.
    pub(crate) fn hold(&mut self, attempt: PendingAttempt, due: ClockTime) {
        self.next_held += 1;
        self.held.insert((due, self.next_held), attempt);
    }

    /// When the next held attempt is due.
    pub(crate) fn next_due(&self) -> Option<ClockTime> {
        self.held.first_key_value().map(|((due, _), _)| *due)
    }

    /// Held attempts whose time has come, in that order.
    pub(crate) fn take_due(&mut self, now: ClockTime) -> Vec<PendingAttempt> {
        let later = self.held.split_off(&(ClockTime(now.0 + 1), 0));
        let due = std::mem::replace(&mut self.held, later);
        due.into_values().collect()
    }

    /// Attempts waiting or held.
    pub(crate) fn len(&self) -> usize {
        self.slots.len() + self.held.len()
    }
}
