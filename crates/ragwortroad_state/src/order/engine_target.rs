use std::collections::BTreeSet;

use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

/// The desired state of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineTarget {
    /// The models, with versions and adapters, that the engine must have loaded.
    pub models: BTreeSet<ModelOffer>,
    /// The role that the engine must have.
    pub role: EngineRole,
    /// Whether the engine must finish its current work and refuse new work.
    pub drain: bool,
}

/// The part of a request that an engine processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Processes prompts and generates tokens.
    #[default]
    Both,
    /// Processes prompts only.
    Prefill,
    /// Generates tokens only.
    Decode,
}

impl From<EngineRole> for RoleWire {
    fn from(role: EngineRole) -> Self {
        match role {
            EngineRole::Both => Self::Both,
            EngineRole::Prefill => Self::Prefill,
            EngineRole::Decode => Self::Decode,
        }
    }
}
