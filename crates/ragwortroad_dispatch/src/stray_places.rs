use std::collections::BTreeMap;

use crate::EndpointTag;

/// Places kept in all; those of a site with some hundred engines fit.
const MAX_STRAYS: usize = 4000;

/// Where texts are at engines that this edge has not heard of yet.
///
/// After a common restart the registries tell at once where texts were, but engines announce
/// themselves again within a second or two. Dropped meanwhile, the places would be told in vain.
#[derive(Debug, Default)]
pub struct StrayPlaces {
    engines: BTreeMap<EndpointTag, Vec<u64>>,
    /// Invariant: texts of all engines together.
    count: usize,
}

impl StrayPlaces {
    /// Remembers a text of an engine, while there is room.
    pub fn keep(&mut self, engine: EndpointTag, text: u64) {
        if self.count >= MAX_STRAYS {
            return;
        }
        let texts = self.engines.entry(engine).or_default();
        if !texts.contains(&text) {
            texts.push(text);
            self.count += 1;
        }
    }

    /// Texts of an engine that has been heard of.
    pub fn take(&mut self, engine: EndpointTag) -> Vec<u64> {
        let texts = self.engines.remove(&engine).unwrap_or_default();
        self.count -= texts.len();
        texts
    }
}
