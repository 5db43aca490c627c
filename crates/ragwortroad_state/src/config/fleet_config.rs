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

/// The whole configuration at one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FleetConfig {
    /// Increases by one with every accepted change.
    pub revision: u64,
    /// The customers, by name.
    pub customers: BTreeMap<String, CustomerEntry>,
    /// The models, by name.
    pub models: BTreeMap<String, ModelEntry>,
    /// The plain services, by name.
    pub services: BTreeMap<String, ServiceEntry>,
    /// Upper bound on an engine's load, in thousandths of the fleet's mean load.
    pub multiple_permille: u32,
    /// The endpoints, nodes and failure domains that get no new work.
    pub drains: BTreeSet<DrainTarget>,
    /// The members of the consensus group, by node name, with `IP:port`.
    pub members: BTreeMap<String, String>,
    /// The operators, by name, with the hashes of their keys.
    pub operators: BTreeMap<String, BTreeSet<KeyHash>>,
    /// What a node does when it cannot confirm that its configuration is current.
    pub quorum_loss: QuorumLoss,
    /// How long and how many idempotency keys are remembered.
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
    /// Returns the customer that owns `key`. A [`KeyIndex`](crate::KeyIndex) finds it faster.
    pub fn customer_of(&self, key: &KeyHash) -> Option<(&str, &CustomerEntry)> {
        self.customers
            .iter()
            .find(|(_, customer)| customer.keys.contains(key))
            .map(|(name, customer)| (name.as_str(), customer))
    }

    /// Returns the operator that owns `key`.
    pub fn operator_of(&self, key: &KeyHash) -> Option<&str> {
        self.operators
            .iter()
            .find(|(_, keys)| keys.contains(key))
            .map(|(name, _)| name.as_str())
    }

    /// Whether the endpoint `name` in failure domain `domain` is drained and gets no new work.
    pub fn drains_endpoint(&self, name: &str, domain: &str) -> bool {
        let drains = |target| self.drains.contains(&target);
        drains(DrainTarget::Endpoint(name.to_owned()))
            || drains(DrainTarget::Domain(domain.to_owned()))
    }

    /// Whether the node `name` is drained and accepts no new work.
    pub fn drains_node(&self, name: &str) -> bool {
        self.drains.contains(&DrainTarget::Node(name.to_owned()))
    }

    /// The load bound as a factor of the mean load.
    pub fn load_multiple(&self) -> f64 {
        f64::from(self.multiple_permille) / 1000.0
    }

    /// A 64-bit hash over the whole configuration, by which a follower detects that its own
    /// differs.
    pub fn digest(&self) -> u64 {
        // Encoding maps and numbers into memory cannot fail. An empty encoding would only make
        // every follower request a snapshot.
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        let hash = Sha256::digest(bytes);
        hash.iter()
            .take(8)
            .fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
    }
}
