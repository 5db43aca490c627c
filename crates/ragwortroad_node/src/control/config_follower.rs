use std::collections::HashMap;

use ragwortroad_routing::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

/// The configuration in force at this node, and the state of the protocol that keeps it current.
#[derive(Debug, Default)]
pub(crate) struct ConfigFollower {
    pub(crate) config: FleetConfig,
    /// Owners of the API keys in `config`.
    pub(crate) keys: KeyIndex,
    /// Decides whether this node may admit requests under `config`.
    pub(crate) guard: StalenessGuard,
    /// The node that last answered as the leader.
    pub(crate) leader: Option<NodeId>,
    /// The model versions that recently served each chat.
    pub(crate) versions: VersionMemory,
    /// When this node last asked whether its configuration is current.
    pub(crate) last_asked: ClockTime,
    /// When the leader last confirmed the configuration; zero before the first time.
    pub(crate) last_confirmed: ClockTime,
    /// Whether this node could admit requests at the last check.
    pub(crate) admits: bool,
    /// Set when an update could not be applied; the next one must hold the full configuration.
    pub(crate) needs_full_config: bool,
}

impl ConfigFollower {
    /// Returns the customer that owns an API key.
    pub(crate) fn customer_of(&self, key: [u8; 32]) -> Option<(&str, &CustomerEntry)> {
        let Some(KeyOwner::Customer(name)) = self.keys.owner(&KeyHash(key)) else {
            return None;
        };
        let entry = self.config.customers.get(name)?;
        Some((name, entry))
    }

    /// Returns the declared versions of a model with their weights; the version that is being
    /// rolled out comes last.
    pub(crate) fn version_plan(&self, model: &str) -> Option<VersionPlan> {
        let entry = self.config.models.get(model)?;
        let rolling = entry.rolling_to.as_deref();
        let weight = |(name, share): (&String, &u32)| VersionWeight::new(name, *share);
        let mut weights: Vec<VersionWeight> = entry.versions.iter().map(weight).collect();
        weights.sort_by_key(|weight| Some(weight.version.as_str()) == rolling);
        Some(VersionPlan::new(model, weights))
    }
}

/// Maximum number of chats in each of the two generations.
const MAX_GENERATION_CHATS: usize = 32 * 1024;

/// Remembers which model version recently served each chat.
///
/// A version change in the middle of a conversation changes its tone and loses the cached prefix.
/// Chats return to the same few nodes, so a memory local to the node covers most of them. When the
/// newer generation is full, it replaces the older one, whose entries are dropped.
#[derive(Debug, Default)]
pub(crate) struct VersionMemory {
    newer: HashMap<(ChatKey, u64), Box<str>>,
    older: HashMap<(ChatKey, u64), Box<str>>,
}

impl VersionMemory {
    /// Returns the version that served `chat` with `model`.
    pub(crate) fn get(&self, chat: ChatKey, model: &str) -> Option<String> {
        let key = (chat, OfferKey::model(model, "", None).0);
        let version = self.newer.get(&key).or_else(|| self.older.get(&key))?;
        Some(version.to_string())
    }

    /// Records the version that serves `chat` with `model`.
    pub(crate) fn put(&mut self, chat: ChatKey, model: &str, version: &str) {
        let key = (chat, OfferKey::model(model, "", None).0);
        if self.newer.len() >= MAX_GENERATION_CHATS {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(key, version.into());
    }
}
