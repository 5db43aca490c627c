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
    ClaimRules,
    ConfigEdit,
    ConfigFault,
    CustomerEntry,
    DrainTarget,
    KeyHash,
    ModelEntry,
    QuorumLoss,
    ServiceEntry,
    config::{
        apply_edit,
        validate, //
    }, //
};

/// Edits one change may have.
const MOST_EDITS: usize = 256;

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
    /// Checks the configuration as a whole and names every fault.
    pub fn validate(&self) -> Result<(), Vec<ConfigFault>> {
        let faults = validate::faults(self);
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults)
        }
    }

    /// The configuration after `edits` as one change, or every fault that keeps it from being one.
    ///
    /// Either all edits take effect or none: they work on a copy.
    pub fn with_edits(&self, edits: &[ConfigEdit]) -> Result<Self, Vec<ConfigFault>> {
        let mut config = self.clone();
        let mut faults = self.faults_of_shape(edits);
        for edit in edits {
            faults.extend(apply_edit::apply(&mut config, edit).err());
        }
        if faults.is_empty() {
            faults = validate::faults(&config);
            let locked_out = config.operators.is_empty() && !self.operators.is_empty();
            faults.extend(locked_out.then_some(ConfigFault::NoOperator));
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        config.revision += 1;
        Ok(config)
    }

    /// Carries the edits of an accepted change out; false where one cannot be.
    ///
    /// The members checked the change as a whole when they accepted it; a follower that checked
    /// every change it missed would stand still for a second after a long absence.
    pub(crate) fn follow_edits(&mut self, edits: &[ConfigEdit]) -> bool {
        let applied = edits
            .iter()
            .all(|edit| apply_edit::apply(self, edit).is_ok());
        self.revision += 1;
        applied
    }

    /// Faults of the list of edits itself.
    fn faults_of_shape(&self, edits: &[ConfigEdit]) -> Vec<ConfigFault> {
        let mut faults = Vec::new();
        if edits.is_empty() || edits.len() > MOST_EDITS {
            faults.push(ConfigFault::BadCount {
                count: edits.len() as u64,
                most: MOST_EDITS as u64,
            });
        }
        // Two members exchanged at once can leave two quorums without a common member, each of
        // which accepts changes that the other does not know.
        let of_members = edits.iter().filter(|edit| edit.is_of_members()).count();
        if of_members > 1 && !self.members.is_empty() {
            faults.push(ConfigFault::ManyMembers);
        }
        faults
    }

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
