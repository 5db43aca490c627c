use std::collections::BTreeMap;

use crate::{
    CustomerLoad,
    ShareKey, //
};

/// Largest number of changes reported at once, the largest ones first.
///
/// With hundreds of customers and edges, all changes at once would saturate a registry's link.
const MAX_REPORTED_CHANGES: usize = 64;

/// Part of a reported value by which it must change to be reported again.
const REPORTED_CHANGE_RATIO: f64 = 0.125;

/// Uses by customers that one process has reported to others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CustomerReport {
    /// Invariant: no use is empty.
    published: BTreeMap<ShareKey, CustomerLoad>,
}

impl CustomerReport {
    /// Returns the changes to report so that the receiver knows `current`, the largest ones first
    /// if there are many; the others follow with the next calls.
    ///
    /// A use that is gone is reported as zero.
    pub fn changes(&mut self, current: &BTreeMap<ShareKey, CustomerLoad>) -> Vec<CustomerLoad> {
        let gone = self.published.iter();
        let gone = gone.filter(|(key, _)| !current.contains_key(key));
        let gone = gone.map(|(_, load)| CustomerLoad {
            running: 0,
            wanted: 0,
            ..*load
        });
        let mut changes: Vec<CustomerLoad> = gone.chain(current.values().copied()).collect();
        changes.retain(|load| self.is_changed(load));
        if changes.len() > MAX_REPORTED_CHANGES {
            changes.sort_by_key(|load| std::cmp::Reverse(self.change(load)));
            changes.truncate(MAX_REPORTED_CHANGES);
        }
        for load in &changes {
            let key = ShareKey::from(load);
            match load.is_empty() {
                true => self.published.remove(&key),
                false => self.published.insert(key, *load),
            };
        }
        changes
    }

    /// Returns the use last reported; zero if there is none.
    pub fn load(&self, key: ShareKey) -> CustomerLoad {
        let load = self.published.get(&key).copied();
        load.unwrap_or(CustomerLoad {
            service: key.service,
            customer: key.customer,
            running: 0,
            wanted: 0,
        })
    }

    /// Returns all uses last reported.
    pub fn loads(&self) -> impl Iterator<Item = &CustomerLoad> {
        self.published.values()
    }

    fn is_changed(&self, load: &CustomerLoad) -> bool {
        let before = self.load(ShareKey::from(load));
        let is_far = |before: u32, after: u32| {
            let change = f64::from(before.abs_diff(after));
            let is_zero_changed = (before == 0) != (after == 0);
            is_zero_changed || change > f64::from(before) * REPORTED_CHANGE_RATIO
        };
        is_far(before.running, load.running) || is_far(before.wanted, load.wanted)
    }

    fn change(&self, load: &CustomerLoad) -> u32 {
        let before = self.load(ShareKey::from(load));
        before.wanted.abs_diff(load.wanted) + before.running.abs_diff(load.running)
    }
}
