use std::collections::BTreeSet;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::CallPattern;

/// A plain service and which of its calls may be sent more than once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Calls declared idempotent in addition to GET and HEAD.
    pub idempotent: BTreeSet<CallPattern>,
    /// Calls that run at most once, whatever their method; takes precedence over `idempotent`.
    pub once: BTreeSet<CallPattern>,
}

impl ServiceEntry {
    /// Whether running such a call twice has the same effect as running it once.
    ///
    /// Without a declaration, GET and HEAD are idempotent and all other methods are not.
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
