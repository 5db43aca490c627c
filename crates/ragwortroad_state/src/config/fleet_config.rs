use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest,
    Sha256, //
};

use crate::{
    ClaimRules, CustomerEntry, DrainTarget, KeyHash, ModelEntry, QuorumLoss, ServiceEntry,
};

/// All that operators declare, at one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FleetConfig {
    /// Counts up by one with every accepted change.
    pub revision: u64,
    /// Customers by name.
    pub customers: BTreeMap<String, CustomerEntry>,
    /// Models by name.
    pub models: BTreeMap<String, ModelEntry>,
    /// Plain services by name.
    pub services: BTreeMap<String, ServiceEntry>,
    /// No engine carries more than this many thousandths of the fleet's mean load.
    pub multiple_permille: u32,
    /// What is out of service.
    pub drains: BTreeSet<DrainTarget>,
    /// Nodes that keep the replicated state, by name, with `IP:port`.
    pub members: BTreeMap<String, String>,
    /// Operators by name, with the hashes of their keys.
    pub operators: BTreeMap<String, BTreeSet<KeyHash>>,
    /// What nodes do that cannot confirm that they are current.
    pub quorum_loss: QuorumLoss,
    /// How idempotency keys are remembered.
    pub claims: ClaimRules,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            revision: 0,
            customers: BTreeMap::new(),
            models: BTreeMap::new(),
            services: BTreeMap::new(),
            multiple_permille: 1250,
            drains: BTreeSet::new(),
            members: BTreeMap::new(),
            operators: BTreeMap::new(),
            quorum_loss: QuorumLoss::default(),
            claims: ClaimRules::default(),
        }
    }
}

impl FleetConfig {
    /// The customer that a key belongs to. A [`KeyIndex`](crate::KeyIndex) finds it faster.
    pub fn customer_of(&self, key: &KeyHash) -> Option<(&str, &CustomerEntry)> {
        self.customers
            .iter()
            .find(|(_, customer)| customer.keys.contains(key))
            .map(|(name, customer)| (name.as_str(), customer))
    }

    /// The operator that a key belongs to.
    pub fn operator_of(&self, key: &KeyHash) -> Option<&str> {
        self.operators
            .iter()
            .find(|(_, keys)| keys.contains(key))
            .map(|(name, _)| name.as_str())
    }

    /// Whether an endpoint of this name in this failure domain gets no new work.
    pub fn drains_endpoint(&self, name: &str, domain: &str) -> bool {
        let drains = |target| self.drains.contains(&target);
        drains(DrainTarget::Endpoint(name.to_owned()))
            || drains(DrainTarget::Domain(domain.to_owned()))
    }

    /// Whether a node of this name takes no new work in.
    pub fn drains_node(&self, name: &str) -> bool {
        self.drains.contains(&DrainTarget::Node(name.to_owned()))
    }

    /// The load multiple as a number.
    pub fn load_multiple(&self) -> f64 {
        f64::from(self.multiple_permille) / 1000.0
    }

    /// A short hash over the whole configuration, by which a follower sees that it went astray.
    pub fn digest(&self) -> u64 {
        // Encoding maps and numbers into memory has no error; an empty text would only make every
        // follower ask for a snapshot.
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        let hash = Sha256::digest(bytes);
        hash.iter()
            .take(8)
            .fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
    }
}
