use std::collections::BTreeSet;

use ragwortroad_types::prelude::*;

/// The last observed state of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineObservation {
    /// Increases with each restart of the engine.
    pub incarnation: u64,
    /// The models that the engine has loaded.
    pub models: BTreeSet<ModelOffer>,
}
