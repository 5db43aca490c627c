use std::collections::BTreeSet;

use ragwortroad_types::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

/// What one engine shall be.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineTarget {
    /// Models with versions and adapters it shall hold.
    pub models: BTreeSet<ModelOffer>,
    /// Its role.
    pub role: EngineRole,
    /// Whether it shall finish what it has and take nothing new.
    pub drain: bool,
}

/// Which part of a request an engine works on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Reads prompts and generates.
    #[default]
    Both,
    /// Reads prompts only.
    Prefill,
    /// Generates only.
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
