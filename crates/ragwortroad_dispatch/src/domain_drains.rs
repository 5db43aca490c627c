use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

/// An operator's order to drain or undrain a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DrainOrder {
    /// Random number by which the sender recognizes the order among the applied commands.
    pub id: u64,
    /// Name of the failure domain.
    pub domain: String,
    /// Whether the domain's endpoints stop receiving new work.
    pub is_drained: bool,
    /// Revision of the drains known to the registry that received the order.
    ///
    /// Keeps a delayed order from undoing a later one.
    pub seen: u64,
}

/// Outcome of applying a drain order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainOutcome {
    /// The state of the domain has changed.
    Changed,
    /// The domain was already in the requested state.
    Unchanged,
    /// The order was rejected, because the domain has changed since the revision that its sender
    /// knew.
    Overtaken,
}

/// Failure domains drained by operators.
///
/// Part of the replicated state: commands are applied in the same order on all replicas, so equal
/// revisions imply equal drains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DomainDrains {
    /// Invariant: no two domains share a revision, and a domain's revision never decreases.
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
    /// Applies an order. Only [`DrainOutcome::Changed`] alters the state.
    pub fn apply(&mut self, order: &DrainOrder) -> DrainOutcome {
        let known = self.domains.get(&order.domain);
        let is_drained = known.is_some_and(|state| state.is_drained);
        if is_drained == order.is_drained {
            return DrainOutcome::Unchanged;
        }
        if known.is_some_and(|state| state.revision > order.seen) {
            return DrainOutcome::Overtaken;
        }
        let state = DrainState {
            is_drained: order.is_drained,
            revision: self.revision() + 1,
        };
        self.domains.insert(order.domain.clone(), state);
        DrainOutcome::Changed
    }

    /// Returns the number of changes so far; of two sets, the one with the higher revision is
    /// newer.
    pub fn revision(&self) -> u64 {
        let revisions = self.domains.values().map(|state| state.revision);
        revisions.max().unwrap_or(0)
    }

    /// Returns whether the endpoints of a domain receive no new work.
    pub fn is_drained(&self, domain: &str) -> bool {
        let state = self.domains.get(domain);
        state.is_some_and(|state| state.is_drained)
    }

    /// Returns the names of the drained domains, in alphabetical order.
    pub fn drained(&self) -> impl Iterator<Item = &str> {
        let domains = self.domains.iter();
        let drained = domains.filter(|(_, state)| state.is_drained);
        drained.map(|(domain, _)| domain.as_str())
    }

    /// Returns the domains that are drained in `former` and not in `self`.
    pub fn undrained_since<'a>(&'a self, former: &'a Self) -> impl Iterator<Item = &'a str> {
        former.drained().filter(|domain| !self.is_drained(domain))
    }
}
