use std::collections::BTreeMap;

use ragwortroad_types::prelude::*;

use crate::{
    DomainKey,
    EndpointKey,
    EndpointTag, //
};

/// An endpoint that accepts new work, reduced to what is read for every candidate of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadyEndpoint {
    /// Key of the endpoint.
    pub key: EndpointKey,
    /// Tag of its name.
    pub tag: EndpointTag,
    /// Key of this run of its process.
    pub incarnation: IncarnationKey,
    /// Its failure domain.
    pub domain: DomainKey,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// When it is warm.
    pub warm_at: ClockTime,
}

impl ReadyEndpoint {
    /// Returns whether the endpoint is warming up.
    pub fn is_warming(&self, now: ClockTime) -> bool {
        now < self.warm_at
    }
}

/// Endpoints that accept new work, by service.
///
/// A fleet has thousands of endpoints, and every request of an engine service looks at all of them,
/// so the scan must touch nothing else.
#[derive(Debug, Default)]
pub(crate) struct ReadyIndex {
    /// Invariant: no map is empty.
    services: BTreeMap<String, BTreeMap<EndpointKey, ReadyEndpoint>>,
    /// Invariant: the number of endpoints of all services.
    count: usize,
}

impl ReadyIndex {
    /// Adds an endpoint, or replaces its entry.
    pub(crate) fn insert(&mut self, service: &str, endpoint: ReadyEndpoint) {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), BTreeMap::new());
        }
        let endpoints = self.services.get_mut(service);
        let replaced = endpoints.and_then(|known| known.insert(endpoint.key, endpoint));
        if replaced.is_none() {
            self.count += 1;
        }
    }

    /// Removes an endpoint if it is present.
    pub(crate) fn remove(&mut self, service: &str, key: EndpointKey) {
        let Some(endpoints) = self.services.get_mut(service) else {
            return;
        };
        if endpoints.remove(&key).is_some() {
            self.count -= 1;
        }
        if endpoints.is_empty() {
            self.services.remove(service);
        }
    }

    /// Returns the endpoints of a service, in the order of their keys.
    pub(crate) fn endpoints(&self, service: &str) -> impl Iterator<Item = &ReadyEndpoint> {
        let endpoints = self.services.get(service).into_iter();
        endpoints.flat_map(BTreeMap::values)
    }

    /// Returns the number of endpoints of all services.
    pub(crate) fn count(&self) -> usize {
        self.count
    }
}
