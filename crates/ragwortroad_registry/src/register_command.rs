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
    /// Puts a configuration; ignored unless its version is above the one in force.
    Put(ConfigDelta),
    /// Drains or undrains a failure domain.
    Drain(DrainOrder),
}
