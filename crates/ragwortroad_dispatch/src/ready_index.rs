use std::collections::{
    BTreeMap,
    HashMap, //
};

use ragwortroad_types::prelude::*;

use crate::{
    DomainKey,
    EndpointKey,
    EndpointTag,
    ReadySet,
    VersionTag, //
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
    /// Software version that it runs; `None` if it announces none.
    pub version: Option<VersionTag>,
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
    /// Invariant: no service is without endpoints.
    services: BTreeMap<String, ReadyService>,
    /// Invariant: the number of endpoints of all services.
    count: usize,
}

/// Ready endpoints of one service.
#[derive(Debug, Default)]
struct ReadyService {
    /// The endpoints in no particular order, one after the other in memory.
    endpoints: Vec<ReadyEndpoint>,
    /// Invariant: the position of each endpoint in `endpoints`.
    positions: HashMap<EndpointKey, usize>,
}

impl ReadyIndex {
    /// Adds an endpoint, or replaces its entry.
    pub(crate) fn insert(&mut self, service: &str, endpoint: ReadyEndpoint) {
        if !self.services.contains_key(service) {
            let added = ReadyService::default();
            self.services.insert(service.to_owned(), added);
        }
        let Some(service) = self.services.get_mut(service) else {
            return;
        };
        match service.positions.get(&endpoint.key) {
            Some(&position) => service.endpoints[position] = endpoint,
            None => {
                let position = service.endpoints.len();
                service.positions.insert(endpoint.key, position);
                service.endpoints.push(endpoint);
                self.count += 1;
            }
        }
    }

    /// Removes an endpoint if it is present; the last one takes its position.
    pub(crate) fn remove(&mut self, name: &str, key: EndpointKey) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        let Some(position) = service.positions.remove(&key) else {
            return;
        };
        service.endpoints.swap_remove(position);
        if let Some(moved) = service.endpoints.get(position) {
            service.positions.insert(moved.key, position);
        }
        self.count -= 1;
        if service.endpoints.is_empty() {
            self.services.remove(name);
        }
    }

    /// Returns the endpoints of a service.
    pub(crate) fn endpoints(&self, service: &str) -> &[ReadyEndpoint] {
        let service = self.services.get(service);
        service.map_or(&[], |service| &service.endpoints)
    }

    /// Returns the set of those endpoints of a service that are among `keys`.
    pub(crate) fn subset(
        &self,
        service: &str,
        keys: impl Iterator<Item = EndpointKey>,
    ) -> ReadySet {
        let Some(service) = self.services.get(service) else {
            return ReadySet::default();
        };
        let mut members = vec![false; service.endpoints.len()];
        for position in keys.filter_map(|key| service.positions.get(&key)) {
            members[*position] = true;
        }
        ReadySet::new(members)
    }

    /// Returns the number of endpoints of all services.
    pub(crate) fn count(&self) -> usize {
        self.count
    }
}
