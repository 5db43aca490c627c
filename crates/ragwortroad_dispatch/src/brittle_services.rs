use std::collections::BTreeMap;

/// Services whose endpoints say that they fail if they have to reject too many requests.
#[derive(Clone, Debug, Default)]
pub struct BrittleServices {
    /// Rejections that an endpoint of the service bears in a second.
    limits: BTreeMap<String, u32>,
}

impl BrittleServices {
    /// Records what an endpoint of the service says in a response: how many rejections it bears in
    /// a second, or `None` if it is not brittle; returns whether that is news.
    pub fn note(&mut self, service: &str, limit: Option<u32>) -> bool {
        if self.limits.get(service).copied() == limit {
            return false;
        }
        match limit {
            Some(limit) => self.limits.insert(service.to_owned(), limit),
            None => self.limits.remove(service),
        };
        true
    }

    /// Returns whether the service's endpoints are brittle.
    pub fn contains(&self, service: &str) -> bool {
        self.limits.contains_key(service)
    }
}
