use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::EndpointKey;

/// Number of distinct endpoints without a response after which their whole domain counts as
/// unreachable.
///
/// Single endpoints fail too; while others of their domain are healthy, a response from one of
/// these resets the count.
const UNREACHABLE_THRESHOLD: usize = 3;

/// Tracks which failure domains an edge can reach.
///
/// When a domain loses power or its network connection, all of its endpoints stop responding at
/// once. If an edge detected that for one endpoint at a time, requests to each of them would wait
/// for a connection timeout; the registries detect it only after several missed announcements. The
/// edge therefore marks the whole domain unreachable after a few consecutive endpoints without a
/// response. Any response from the domain marks it reachable.
#[derive(Debug, Default)]
pub struct DomainReach {
    /// Endpoints that have not responded since their domain's last response.
    ///
    /// Invariant: no set is empty.
    silent: BTreeMap<String, BTreeSet<EndpointKey>>,
}

impl DomainReach {
    /// Records that an endpoint did not respond at all; returns whether this made its domain
    /// unreachable.
    pub fn note_silent(&mut self, domain: &str, endpoint: EndpointKey) -> bool {
        let was_reachable = self.is_reachable(domain);
        let silent = self.silent.entry(domain.to_owned()).or_default();
        silent.insert(endpoint);
        was_reachable && !self.is_reachable(domain)
    }

    /// Records a response from a domain; returns whether this made the domain reachable again.
    pub fn note_response(&mut self, domain: &str) -> bool {
        let was_reachable = self.is_reachable(domain);
        self.silent.remove(domain);
        !was_reachable
    }

    /// Returns whether requests may be sent to a domain; true for unknown domains.
    pub fn is_reachable(&self, domain: &str) -> bool {
        let silent = self.silent.get(domain);
        silent.is_none_or(|silent| silent.len() < UNREACHABLE_THRESHOLD)
    }

    /// Returns the domains that count as unreachable.
    pub fn unreachable(&self) -> impl Iterator<Item = &str> {
        let domains = self.silent.keys().map(String::as_str);
        domains.filter(|domain| !self.is_reachable(domain))
    }
}
