use std::collections::BTreeMap;

use crate::{
    FleetConfig,
    KeyHash, //
};

/// The owner of an API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyOwner {
    /// A customer, by name.
    Customer(String),
    /// An operator, by name.
    Operator(String),
}

/// Maps the key hashes of one configuration to their owners; rebuilt when the revision changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyIndex {
    owners: BTreeMap<KeyHash, KeyOwner>,
}

impl KeyIndex {
    /// Returns the owner of a key, or `None` for an unknown key.
    pub fn owner(&self, key: &KeyHash) -> Option<&KeyOwner> {
        self.owners.get(key)
    }
}

impl From<&FleetConfig> for KeyIndex {
    fn from(config: &FleetConfig) -> Self {
        let customers = config.customers.iter().flat_map(|(name, customer)| {
            let owner = KeyOwner::Customer(name.clone());
            customer.keys.iter().map(move |key| (*key, owner.clone()))
        });
        let operators = config.operators.iter().flat_map(|(name, keys)| {
            let owner = KeyOwner::Operator(name.clone());
            keys.iter().map(move |key| (*key, owner.clone()))
        });
        Self {
            owners: customers.chain(operators).collect(),
        }
    }
}
