use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// The sum of a model's version shares.
pub(crate) const FULL_SHARE_PERCENT: u32 = 100;

/// A model with its versions, adapters and replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ModelEntry {
    /// Percent of new chats each version gets.
    ///
    /// Invariant: the shares sum up to 100 and none is zero.
    pub versions: BTreeMap<String, u32>,
    /// The shares before the rollout that is under way or came last; empty before the first.
    pub stable: BTreeMap<String, u32>,
    /// The version that the rollout under way or the last one leads to.
    pub rolling_to: Option<String>,
    /// Adapters that can be loaded for it.
    pub adapters: BTreeSet<String>,
    /// How many engines hold it.
    pub replicas: ReplicaRange,
    /// Size of its weights, which the rate of the weight store is counted in.
    pub size_mb: u32,
}

/// How many engines hold a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReplicaRange {
    /// Never fewer.
    pub min: u32,
    /// Never more.
    pub max: u32,
    /// The number to begin with, and to go back to without demand.
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
    /// A model of one version that gets all chats.
    pub fn new(version: &str, replicas: ReplicaRange, size_mb: u32) -> Self {
        Self {
            versions: BTreeMap::from([(version.to_owned(), FULL_SHARE_PERCENT)]),
            replicas,
            size_mb,
            ..Self::default()
        }
    }

    /// Gives `version` the share `percent` and the rest to what was there before the rollout.
    ///
    /// The shares before the rollout are kept, so that going back is one change at any step.
    pub(crate) fn roll_to(&mut self, version: &str, percent: u32) {
        if self.rolling_to.as_deref() != Some(version) {
            self.stable = self.versions.clone();
            self.rolling_to = Some(version.to_owned());
        }
        self.versions = blend(&self.stable, version, percent);
    }

    /// Goes back to the shares before the rollout; false where there was none.
    pub(crate) fn roll_back(&mut self) -> bool {
        if self.stable.is_empty() {
            return false;
        }
        self.versions = std::mem::take(&mut self.stable);
        self.rolling_to = None;
        true
    }
}

/// `percent` for `version` and the rest shared out as in `stable`; rounding goes to the largest.
fn blend(stable: &BTreeMap<String, u32>, version: &str, percent: u32) -> BTreeMap<String, u32> {
    let percent = percent.min(FULL_SHARE_PERCENT);
    let rest = FULL_SHARE_PERCENT - percent;
    let mut shares: BTreeMap<String, u32> = stable
        .iter()
        .map(|(name, share)| (name.clone(), share * rest / FULL_SHARE_PERCENT))
        .collect();
    let given: u32 = shares.values().sum();
    let largest = stable.iter().max_by_key(|(name, share)| (**share, *name));
    if let Some((name, _)) = largest {
        *shares.entry(name.clone()).or_default() += rest - given.min(rest);
    }
    *shares.entry(version.to_owned()).or_default() += percent;
    shares.retain(|_, share| *share > 0);
    shares
}
