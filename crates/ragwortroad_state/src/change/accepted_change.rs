use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ConfigEdit,
    StateTime, //
};

/// A configuration change that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The revision that it created.
    pub revision: u64,
    /// The identifier that the issuer chose.
    pub change_id: String,
    /// The name of the operator who issued it.
    pub operator: String,
    /// The state time at which it was accepted.
    pub accepted_at: StateTime,
    /// The edits, in the order in which they were applied.
    pub edits: Vec<ConfigEdit>,
}
