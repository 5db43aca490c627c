use std::collections::HashMap;

use crate::EndpointTag;

/// Largest number of locations kept; those of a site with some hundred engines fit.
const MAX_PENDING: usize = 4000;

/// Locations of prefixes at engines that this edge does not know yet.
///
/// After a restart of the whole fleet the registries send prefix locations at once, while the
/// engines take a second or two to announce themselves again. Locations dropped in the meantime
/// would be lost.
#[derive(Debug, Default)]
pub struct PendingLocations {
    /// Engines by prefix.
    ///
    /// Invariant: no list is empty.
    engines_by_prefix: HashMap<u64, Vec<EndpointTag>>,
    /// Invariant: the number of locations of all prefixes.
    count: usize,
}

impl PendingLocations {
    /// Adds the location of a prefix, unless the limit is reached.
    pub fn add(&mut self, engine: EndpointTag, prefix: u64) {
        if self.count >= MAX_PENDING {
            return;
        }
        let engines = self.engines_by_prefix.entry(prefix).or_default();
        if !engines.contains(&engine) {
            engines.push(engine);
            self.count += 1;
        }
    }

    /// Returns whether an unknown engine holds a prefix.
    pub fn contains(&self, prefix: u64) -> bool {
        self.engines_by_prefix.contains_key(&prefix)
    }

    /// Removes an engine that has become known; returns its prefixes.
    pub fn take(&mut self, engine: EndpointTag) -> Vec<u64> {
        let mut taken = Vec::new();
        self.engines_by_prefix.retain(|&prefix, engines| {
            let before = engines.len();
            engines.retain(|known| *known != engine);
            if engines.len() < before {
                taken.push(prefix);
            }
            !engines.is_empty()
        });
        self.count -= taken.len();
        taken
    }
}
