use std::collections::BTreeSet;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::CallPattern;

/// A plain service and which of its calls may be repeated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Calls declared idempotent beside the default.
    pub idempotent: BTreeSet<CallPattern>,
    /// Calls that run at most once whatever their method; these win over `idempotent`.
    pub once: BTreeSet<CallPattern>,
}

impl ServiceEntry {
    /// Whether running such a call twice does the same as running it once.
    ///
    /// Without a declaration GET and HEAD are idempotent and all else is not.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let covers = |patterns: &BTreeSet<CallPattern>| {
            patterns.iter().any(|pattern| pattern.matches(method, path))
        };
        if covers(&self.once) {
            return false;
        }
        matches!(method, "GET" | "HEAD") || covers(&self.idempotent)
    }
}
