use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::EndpointKey;

/// Endpoints of a domain that leave connections unanswered, one after the other, until the whole
/// domain counts as unreachable.
///
/// Single endpoints fall silent too; where others of their domain are well, an answer of one of
/// these comes in between.
const SILENT_ENDPOINTS: usize = 3;

/// Which failure domains an edge can reach.
///
/// When a domain loses power or the network to it is cut, all of its endpoints go silent at once.
/// Found out one by one, each of them costs callers the time until a connection is given up; the
/// registries notice only after several missed announcements. So a few silent endpoints in a row
/// stand for their domain. Any answer from there shows that it is reachable.
#[derive(Debug, Default)]
pub struct DomainReach {
    /// Endpoints that have been silent since their domain's last answer.
    ///
    /// Invariant: no set is empty.
    silent: BTreeMap<String, BTreeSet<EndpointKey>>,
}

impl DomainReach {
    /// An endpoint did not answer at all; tells whether its domain counts as unreachable from now on.
    pub fn note_silent(&mut self, domain: &str, endpoint: EndpointKey) -> bool {
        let was_reachable = self.is_reachable(domain);
        let silent = self.silent.entry(domain.to_owned()).or_default();
        silent.insert(endpoint);
        was_reachable && !self.is_reachable(domain)
    }

    /// Something came back from a domain; tells whether it counted as unreachable.
    pub fn note_answer(&mut self, domain: &str) -> bool {
        let was_reachable = self.is_reachable(domain);
        self.silent.remove(domain);
        !was_reachable
    }

    /// Whether requests to a domain are likely to arrive.
    pub fn is_reachable(&self, domain: &str) -> bool {
        let silent = self.silent.get(domain);
        silent.is_none_or(|silent| silent.len() < SILENT_ENDPOINTS)
    }

    /// Domains that count as unreachable.
    pub fn unreachable(&self) -> impl Iterator<Item = &str> {
        let domains = self.silent.keys().map(String::as_str);
        domains.filter(|domain| !self.is_reachable(domain))
    }
}
