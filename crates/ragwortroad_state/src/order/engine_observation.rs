use std::collections::BTreeSet;

use ragwortroad_types::prelude::*;

/// What an engine was last seen to be.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineObservation {
    /// Counts up with its restarts.
    pub incarnation: u64,
    /// Models it holds.
    pub models: BTreeSet<ModelOffer>,
}
