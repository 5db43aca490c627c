use xxhash_rust::xxh3::xxh3_64_with_seed;

use ragwortroad_types::ChatKey;

/// The declared versions of one model with their shares of new chats.
///
/// A rollout is a sequence of changes to the weights, and a rollback is one change back to the old
/// ones.
///
/// ```
/// use ragwortroad_routing::prelude::*;
/// use ragwortroad_types::ChatKey;
///
/// let plan = VersionPlan::new("tutor", vec![VersionWeight::new("v1", 0), VersionWeight::new("v2", 100)]);
/// assert_eq!(plan.version_for(Some(ChatKey(7)), None, 0), Some("v2"));
/// // A chat in the middle of a conversation stays, as long as its version is declared.
/// assert_eq!(plan.version_for(Some(ChatKey(7)), Some("v1"), 0), Some("v1"));
/// assert_eq!(plan.version_for(Some(ChatKey(7)), Some("v0"), 0), Some("v2"));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionPlan {
    seed: u64,
    versions: Vec<VersionWeight>,
}

/// A declared version and its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionWeight {
    /// Name of the version, as operators declare it.
    pub version: String,
    /// Share of new chats, relative to the sum of all weights.
    pub weight: u32,
}

impl VersionWeight {
    /// Creates an entry that gives `version` the share `weight`.
    pub fn new(version: impl Into<String>, weight: u32) -> Self {
        let version = version.into();
        Self { version, weight }
    }
}

impl VersionPlan {
    /// Creates a plan from the versions of `model`, oldest first. A chat's position in the sum of
    /// weights is fixed, so that raising a later version's weight only moves chats to that version.
    pub fn new(model: &str, versions: Vec<VersionWeight>) -> Self {
        Self {
            seed: xxhash_rust::xxh3::xxh3_64(model.as_bytes()),
            versions,
        }
    }

    /// Returns the version for a chat that was last served by `current`, or for a request without a
    /// chat, which is distributed by `salt`. `None` where no version has a weight.
    pub fn version_for(
        &self,
        chat: Option<ChatKey>,
        current: Option<&str>,
        salt: u64,
    ) -> Option<&str> {
        let declared = |name: &str| self.versions.iter().find(|entry| entry.version == name);
        if let Some(entry) = current.and_then(declared) {
            return Some(&entry.version);
        }
        let key = chat.map_or(salt, |chat| chat.0);
        let sum: u64 = self
            .versions
            .iter()
            .map(|entry| u64::from(entry.weight))
            .sum();
        let hash = xxh3_64_with_seed(&key.to_le_bytes(), self.seed);
        let mut point = ((u128::from(hash) * u128::from(sum)) >> 64) as u64;
        for entry in &self.versions {
            let weight = u64::from(entry.weight);
            if point < weight {
                return Some(&entry.version);
            }
            point -= weight;
        }
        None
    }
}
