use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RegisterCommand {
    /// Takes a configuration, unless its version is not above the one held.
    Put(ConfigDelta),
    /// Drains a failure domain, or takes that back.
    Drain(DrainOrder),
}
