use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// The sum of a model's version shares, in percent.
pub(crate) const FULL_SHARE_PERCENT: u32 = 100;

/// A model's versions, adapters and replica counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ModelEntry {
    /// Percentage of new chats that each version gets.
    ///
    /// Invariant: the shares add up to 100 and none is zero.
    pub versions: BTreeMap<String, u32>,
    /// The shares before the current or last rollout; empty before the first.
    pub stable: BTreeMap<String, u32>,
    /// The version that the current or last rollout introduces.
    pub rolling_to: Option<String>,
    /// The adapters that can be loaded for the model.
    pub adapters: BTreeSet<String>,
    /// The number of engines that load the model.
    pub replicas: ReplicaRange,
    /// Size of the weights in megabytes, charged against the rate of the weight store.
    pub size_mb: u32,
}

/// The number of engines that load the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReplicaRange {
    /// Minimum number of engines.
    pub min: u32,
    /// Maximum number of engines.
    pub max: u32,
    /// Initial number of engines, and the number to return to without demand.
    pub wanted: u32,
}

impl Default for ReplicaRange {
    fn default() -> Self {
        Self {
            min: 1,
            max: 1,
            wanted: 1,
        }
    }
}

impl ModelEntry {
    /// Creates a model whose only version gets all chats.
    pub fn new(version: &str, replicas: ReplicaRange, size_mb: u32) -> Self {
        Self {
            versions: BTreeMap::from([(version.to_owned(), FULL_SHARE_PERCENT)]),
            replicas,
            size_mb,
            ..Self::default()
        }
    }

    /// Gives `version` a share of `percent` and distributes the rest as before the rollout.
    ///
    /// The shares before the rollout are kept, so that one change rolls back from any step.
    pub(crate) fn roll_to(&mut self, version: &str, percent: u32) {
        if self.rolling_to.as_deref() != Some(version) {
            self.stable = self.versions.clone();
            self.rolling_to = Some(version.to_owned());
        }
        self.versions = blend(&self.stable, version, percent);
    }

    /// Restores the shares before the rollout. Returns false if there was no rollout.
    pub(crate) fn roll_back(&mut self) -> bool {
        if self.stable.is_empty() {
            return false;
        }
        self.versions = std::mem::take(&mut self.stable);
        self.rolling_to = None;
        true
    }
}

/// Gives `percent` to `version` and distributes the rest in proportion to `stable`; the rounding
/// remainder goes to the largest share.
fn blend(stable: &BTreeMap<String, u32>, version: &str, percent: u32) -> BTreeMap<String, u32> {
    let percent = percent.min(FULL_SHARE_PERCENT);
    let rest = FULL_SHARE_PERCENT - percent;
    let mut shares: BTreeMap<String, u32> = stable
        .iter()
        .map(|(name, share)| (name.clone(), share * rest / FULL_SHARE_PERCENT))
        .collect();
    let allocated: u32 = shares.values().sum();
    let largest = stable.iter().max_by_key(|(name, share)| (**share, *name));
    if let Some((name, _)) = largest {
        *shares.entry(name.clone()).or_default() += rest - allocated.min(rest);
    }
    *shares.entry(version.to_owned()).or_default() += percent;
    shares.retain(|_, share| *share > 0);
    shares
}
