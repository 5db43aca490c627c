use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies an endpoint in load messages: a hash of its name, a third of the name's length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct EndpointTag(pub u32);

impl EndpointTag {
    /// Returns the tag of an endpoint's name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// Number of requests in flight at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadCount {
    /// Tag of the endpoint.
    pub endpoint: EndpointTag,
    /// Requests in flight.
    pub count: u32,
}

/// Share of the mean load from which an endpoint's load is published.
///
/// Edges only need to know which endpoints are close to the bound; publishing the others would
/// double the traffic on a registry's link.
const PUBLISHED_LOAD_RATIO: f64 = 0.8;

/// Largest number of changes published at once, the highest loads first: only those close to the
/// bound matter, and at thousands of endpoints and hundreds of edges the rest would saturate a
/// registry's link.
const MAX_PUBLISHED_CHANGES: usize = 300;

/// Number of edges up to which one registry exchanges loads at the full rate.
///
/// Each edge sends it five messages per second and gets as many; far more would take the whole
/// processor of a small VM.
const EDGES_AT_FULL_RATE: u32 = 100;

/// Returns the factor by which the interval between load messages grows with the number of edges.
pub fn load_interval_factor(edges: u32) -> u32 {
    edges.div_ceil(EDGES_AT_FULL_RATE).max(1)
}

/// Request counts that one edge has reported to one registry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CountReport {
    /// Invariant: no count is zero.
    published: BTreeMap<EndpointTag, u32>,
}

impl CountReport {
    /// Returns the changes to report so that the registry knows `current`.
    ///
    /// A registry that is no longer the edge's home gets zero counts: otherwise it would keep
    /// publishing outdated counts, and the load of all engines, and the load bound with it, would
    /// appear higher than they are.
    pub fn changes(&mut self, current: &BTreeMap<EndpointTag, u32>) -> Vec<LoadCount> {
        let known = self.published.keys().chain(current.keys());
        let endpoints: BTreeSet<EndpointTag> = known.copied().collect();
        let mut changes = Vec::new();
        for endpoint in endpoints {
            let count = current.get(&endpoint).copied().unwrap_or(0);
            if self.count(endpoint) != count {
                changes.push(LoadCount { endpoint, count });
            }
        }
        self.published = current.clone();
        self.published.retain(|_, count| *count > 0);
        changes
    }

    /// Returns the endpoints whose last reported count is not zero.
    pub fn endpoints(&self) -> impl Iterator<Item = EndpointTag> {
        self.published.keys().copied()
    }

    /// Returns the count last reported for an endpoint.
    pub fn count(&self, endpoint: EndpointTag) -> u32 {
        self.published.get(&endpoint).copied().unwrap_or(0)
    }
}

/// Source of request counts, identified by an address that outlives a connection.
///
/// A reconnecting process may be back seconds before its old connection is found dead. If sources
/// were identified by connection, it would count twice until then: engines would appear to be more
/// loaded, and clients would be rejected while there is capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadSource {
    /// An edge whose home is this registry.
    Edge(SocketAddr),
    /// Another registry, which reports the sums over its own edges.
    Registry(SocketAddr),
}

/// Request counts of all edges, summed up by the registries together.
///
/// Sixty edges that each send an occasional request to the engine that holds a busy prefix do not
/// know of each other's requests, which results in engines far above the mean load. Load readings
/// arrive with the first bytes of a response, too late and too rarely at one edge; the sums make
/// every edge's count known a moment later. Each registry sums up its own edges, sends the sums to
/// the other registries and the totals to its edges, so its traffic grows with its share of the
/// fleet.
#[derive(Debug, Default)]
pub struct LoadTotals {
    sources: BTreeMap<LoadSource, BTreeMap<EndpointTag, u32>>,
    /// Sums over this registry's edges.
    ///
    /// Invariant: no count is zero.
    own: BTreeMap<EndpointTag, u32>,
    /// Sums over all edges.
    totals: BTreeMap<EndpointTag, u32>,
    /// Counts last published to this registry's edges.
    published: BTreeMap<EndpointTag, u32>,
    /// Counts last reported to the other registries.
    report: CountReport,
}

impl LoadTotals {
    /// Applies changed counts of a source.
    pub fn update(&mut self, source: LoadSource, counts: &[LoadCount]) {
        let known = self.sources.entry(source).or_default();
        for change in counts {
            let before = match change.count {
                0 => known.remove(&change.endpoint),
                count => known.insert(change.endpoint, count),
            };
            let before = before.unwrap_or(0);
            replace_summand(&mut self.totals, change.endpoint, before, change.count);
            if matches!(source, LoadSource::Edge(_)) {
                replace_summand(&mut self.own, change.endpoint, before, change.count);
            }
        }
    }

    /// Removes the counts of a source that is gone or reports from the beginning.
    pub fn drop_source(&mut self, source: LoadSource) {
        for (endpoint, count) in self.sources.remove(&source).unwrap_or_default() {
            replace_summand(&mut self.totals, endpoint, count, 0);
            if matches!(source, LoadSource::Edge(_)) {
                replace_summand(&mut self.own, endpoint, count, 0);
            }
        }
    }

    /// Returns the changes of this registry's own sums since the last call, for the other
    /// registries.
    pub fn own_changes(&mut self) -> Vec<LoadCount> {
        self.report.changes(&self.own)
    }

    /// Returns all sums reported to the other registries so far, for one that has just connected.
    pub fn own_published(&self) -> Vec<LoadCount> {
        load_counts(&self.report.published)
    }

    /// Returns the changed totals to publish to this registry's edges.
    pub fn changes(&mut self) -> Vec<LoadCount> {
        let sum: u32 = self.totals.values().sum();
        let mean = f64::from(sum) / self.totals.len().max(1) as f64;
        let is_published = |total: u32| f64::from(total) >= mean * PUBLISHED_LOAD_RATIO;
        let mut changes = Vec::new();
        for (&endpoint, &count) in &self.totals {
            let before = self.published.get(&endpoint).copied();
            let is_changed = match before {
                Some(before) => before != count,
                None => is_published(count),
            };
            if is_changed {
                changes.push(LoadCount { endpoint, count });
            }
        }
        for &endpoint in self.published.keys() {
            if !self.totals.contains_key(&endpoint) {
                let count = 0;
                changes.push(LoadCount { endpoint, count });
            }
        }
        if changes.len() > MAX_PUBLISHED_CHANGES {
            changes.sort_by_key(|change| std::cmp::Reverse(change.count));
            changes.truncate(MAX_PUBLISHED_CHANGES);
        }
        for change in &changes {
            match change.count {
                0 => self.published.remove(&change.endpoint),
                count => self.published.insert(change.endpoint, count),
            };
        }
        changes
    }

    /// Returns all totals published so far, for an edge that has just connected.
    pub fn published(&self) -> Vec<LoadCount> {
        load_counts(&self.published)
    }
}

/// Replaces one summand of an endpoint's sum; removes sums of zero.
fn replace_summand(
    sums: &mut BTreeMap<EndpointTag, u32>,
    endpoint: EndpointTag,
    before: u32,
    after: u32,
) {
    let sum = sums.entry(endpoint).or_default();
    *sum = (*sum + after).saturating_sub(before);
    if *sum == 0 {
        sums.remove(&endpoint);
    }
}

fn load_counts(counts: &BTreeMap<EndpointTag, u32>) -> Vec<LoadCount> {
    let counts = counts.iter();
    counts
        .map(|(&endpoint, &count)| LoadCount { endpoint, count })
        .collect()
}
