use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

/// An operator's order to drain a failure domain, or to take that back.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DrainOrder {
    /// Random number by which its sender finds it again among the applied commands.
    pub id: u64,
    /// The failure domain.
    pub domain: String,
    /// Whether its endpoints get no new work from now on.
    pub is_drained: bool,
    /// Revision of the drains known where the order came in.
    ///
    /// An order that was held up on its way must not undo a later one.
    pub seen: u64,
}

/// What a drain order has led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainOutcome {
    /// The domain has changed.
    Changed,
    /// The domain was in the ordered state already.
    Unchanged,
    /// The domain was changed by an order that the sender of this one did not know.
    Superseded,
}

/// Failure domains that operators have drained.
///
/// Part of the replicated state: commands are applied in the same order everywhere, so equal
/// revisions mean equal drains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DomainDrains {
    /// Invariant: no two domains share a revision, and a domain's revision never goes down.
    domains: BTreeMap<String, DrainState>,
}

/// The last change of one domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct DrainState {
    is_drained: bool,
    revision: u64,
}

impl DomainDrains {
    /// Applies an order.
    pub fn apply(&mut self, order: &DrainOrder) -> DrainOutcome {
        let known = self.domains.get(&order.domain);
        let is_drained = known.is_some_and(|state| state.is_drained);
        if is_drained == order.is_drained {
            return DrainOutcome::Unchanged;
        }
        if known.is_some_and(|state| state.revision > order.seen) {
            return DrainOutcome::Superseded;
        }
        let state = DrainState {
            is_drained: order.is_drained,
            revision: self.revision() + 1,
        };
        self.domains.insert(order.domain.clone(), state);
        DrainOutcome::Changed
    }

    /// Number of changes so far; of two sets the one with the higher revision is the later.
    pub fn revision(&self) -> u64 {
        let revisions = self.domains.values().map(|state| state.revision);
        revisions.max().unwrap_or(0)
    }

    /// Whether the endpoints of a domain get no new work.
    pub fn is_drained(&self, domain: &str) -> bool {
        let state = self.domains.get(domain);
        state.is_some_and(|state| state.is_drained)
    }

    /// Domains that are drained.
    pub fn drained(&self) -> impl Iterator<Item = &str> {
        let domains = self.domains.iter();
        let drained = domains.filter(|(_, state)| state.is_drained);
        drained.map(|(domain, _)| domain.as_str())
    }

    /// Domains that are drained in `former` and no longer here.
    pub fn undrained_since<'a>(&'a self, former: &'a Self) -> impl Iterator<Item = &'a str> {
        former.drained().filter(|domain| !self.is_drained(domain))
    }
}
