use std::collections::HashMap;

use ragwortroad_routing::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

/// A node's part in following the configuration.
#[derive(Debug, Default)]
pub(crate) struct FollowSeat {
    /// The configuration in force here.
    pub(crate) config: FleetConfig,
    /// Whose key is whose, by that configuration.
    pub(crate) keys: KeyIndex,
    /// The leave to admit work with it.
    pub(crate) guard: StalenessGuard,
    /// Who answered as the leader last.
    pub(crate) leader: Option<NodeId>,
    /// Versions that chats were served by.
    pub(crate) versions: VersionMemory,
    /// When this node asked last.
    pub(crate) asked: ClockTime,
    /// When the leader confirmed last.
    pub(crate) confirmed: ClockTime,
    /// Whether this node could admit work when that was last looked at.
    pub(crate) admits: bool,
    /// The last update could not be followed; the next one must be whole.
    pub(crate) wants_whole: bool,
}

impl FollowSeat {
    /// The customer that a key belongs to.
    pub(crate) fn customer_of(&self, key: [u8; 32]) -> Option<(&str, &CustomerEntry)> {
        let Some(KeyOwner::Customer(name)) = self.keys.owner(&KeyHash(key)) else {
            return None;
        };
        let entry = self.config.customers.get(name)?;
        Some((name, entry))
    }

    /// The declared versions of a model, the one that is being rolled out last.
    pub(crate) fn version_plan(&self, model: &str) -> Option<VersionPlan> {
        let entry = self.config.models.get(model)?;
        let rolling = entry.rolling_to.as_deref();
        let weight = |(name, share): (&String, &u32)| VersionWeight::new(name, *share);
        let mut weights: Vec<VersionWeight> = entry.versions.iter().map(weight).collect();
        weights.sort_by_key(|weight| Some(weight.version.as_str()) == rolling);
        Some(VersionPlan::new(model, weights))
    }
}

/// Chats whose version is remembered, in each of two generations.
const GENERATION: usize = 32 * 1024;

/// Which version each chat was served by lately.
///
/// A chat that changes its version in the middle of a conversation changes its tone and loses its
/// cached prefix. Chats return to the same few nodes, so a node's own memory holds most of them;
/// the oldest half is dropped when the newer half is full.
#[derive(Debug, Default)]
pub(crate) struct VersionMemory {
    newer: HashMap<(ChatKey, u64), Box<str>>,
    older: HashMap<(ChatKey, u64), Box<str>>,
}

impl VersionMemory {
    /// The version that served `chat` with `model`.
    pub(crate) fn get(&self, chat: ChatKey, model: &str) -> Option<String> {
        let key = (chat, OfferKey::model(model, "", None).0);
        let version = self.newer.get(&key).or_else(|| self.older.get(&key))?;
        Some(version.to_string())
    }

    /// Notes the version that serves `chat`.
    pub(crate) fn put(&mut self, chat: ChatKey, model: &str, version: &str) {
        let key = (chat, OfferKey::model(model, "", None).0);
        if self.newer.len() >= GENERATION {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(key, version.into());
    }
}
