use std::collections::HashMap;

use crate::EndpointTag;

/// Places kept in all; those of a site with some hundred engines fit.
const MAX_STRAYS: usize = 4000;

/// Where texts are at engines that this edge has not heard of yet.
///
/// After a common restart the registries tell at once where texts were, but engines announce
/// themselves again within a second or two. Dropped meanwhile, the places would be told in vain.
#[derive(Debug, Default)]
pub struct PendingLocations {
    /// Invariant: no text is without an engine.
    texts: HashMap<u64, Vec<EndpointTag>>,
    /// Invariant: places of all texts together.
    count: usize,
}

impl PendingLocations {
    /// Remembers a text of an engine, while there is room.
    pub fn add(&mut self, engine: EndpointTag, text: u64) {
        if self.count >= MAX_STRAYS {
            return;
        }
        let engines = self.texts.entry(text).or_default();
        if !engines.contains(&engine) {
            engines.push(engine);
            self.count += 1;
        }
    }

    /// Whether an engine that was not heard of holds a text.
    pub fn contains(&self, text: u64) -> bool {
        self.texts.contains_key(&text)
    }

    /// Texts of an engine that has been heard of.
    pub fn take(&mut self, engine: EndpointTag) -> Vec<u64> {
        let mut taken = Vec::new();
        self.texts.retain(|&text, engines| {
            let before = engines.len();
            engines.retain(|known| *known != engine);
            if engines.len() < before {
                taken.push(text);
            }
            !engines.is_empty()
        });
        self.count -= taken.len();
        taken
    }
}
