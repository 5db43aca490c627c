use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::KeyHash;

/// A customer's API keys, limits and permissions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CustomerEntry {
    /// Hashes of the customer's API keys; several while keys are being rotated.
    ///
    /// Invariant: no other customer or operator has any of them.
    pub keys: BTreeSet<KeyHash>,
    /// The customer's limits across the whole fleet.
    pub limits: CustomerLimits,
    /// The models the customer may use, by name.
    pub models: BTreeMap<String, ModelAccess>,
    /// The plain services the customer may call.
    pub services: BTreeSet<String>,
    /// The revision in which an operator last declared that the customer's idempotency keys past
    /// the window will not be used again, so that their fingerprints can be dropped.
    pub forgotten: u64,
}

impl CustomerEntry {
    /// Whether the customer may use `adapter` of `model`, or the model without an adapter.
    pub fn may_use(&self, model: &str, adapter: Option<&str>) -> bool {
        let access = self.models.get(model);
        access.is_some_and(|access| adapter.is_none_or(|name| access.adapters.contains(name)))
    }
}

/// A customer's limits and scheduling weights across the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CustomerLimits {
    /// Requests per second.
    pub requests_per_s: u32,
    /// Tokens per second, prompt and output together.
    pub tokens_per_s: u32,
    /// Concurrent requests.
    pub concurrent: u32,
    /// Relative share of capacity when the fleet is saturated.
    pub weight: u32,
    /// Scheduling priority at engines; a lower value is served first.
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

/// A customer's access to one model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ModelAccess {
    /// The adapters the customer may request.
    pub adapters: BTreeSet<String>,
    /// The version that all the customer's requests use; `None` follows the model's version shares.
    pub version: Option<String>,
}
