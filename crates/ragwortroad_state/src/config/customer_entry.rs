use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::KeyHash;

/// What a customer may use and how much of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CustomerEntry {
    /// Hashes of the keys that name the customer; several while keys are exchanged.
    ///
    /// Invariant: no other customer or operator has one of them.
    pub keys: BTreeSet<KeyHash>,
    /// How much the customer may take over the whole fleet.
    pub limits: CustomerLimits,
    /// Models the customer may use.
    pub models: BTreeMap<String, ModelAccess>,
    /// Plain services the customer may call.
    pub services: BTreeSet<String>,
    /// The revision with which an operator last declared that the customer's idempotency keys past
    /// the window will not come again, so that their fingerprints can be dropped.
    pub forgotten: u64,
}

impl CustomerEntry {
    /// Whether the customer may use `adapter` of `model`, or the bare model.
    pub fn may_use(&self, model: &str, adapter: Option<&str>) -> bool {
        let access = self.models.get(model);
        access.is_some_and(|access| adapter.is_none_or(|name| access.adapters.contains(name)))
    }
}

/// A customer's rates and shares over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CustomerLimits {
    /// Requests a second.
    pub requests_per_s: u32,
    /// Tokens to generate a second.
    pub tokens_per_s: u32,
    /// Requests running at once.
    pub concurrent: u32,
    /// Share against other customers when the fleet is full.
    pub weight: u32,
    /// Scheduling priority at engines: smaller goes first.
    pub priority: u8,
}

impl Default for CustomerLimits {
    fn default() -> Self {
        Self {
            requests_per_s: 10,
            tokens_per_s: 20_000,
            concurrent: 32,
            weight: 100,
            priority: 100,
        }
    }
}

/// How a customer may use one model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ModelAccess {
    /// Adapters the customer may name.
    pub adapters: BTreeSet<String>,
    /// The version the customer always gets, where one is declared.
    pub version: Option<String>,
}
