use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ConfigEdit,
    StateTime, //
};

/// A change that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The revision it led to.
    pub revision: u64,
    /// Its own name.
    pub change_id: String,
    /// Who issued it.
    pub operator: String,
    /// When it was accepted.
    pub accepted_at: StateTime,
    /// What it changed.
    pub edits: Vec<ConfigEdit>,
}
