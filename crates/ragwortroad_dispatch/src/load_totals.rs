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

/// An endpoint in messages about load: a hash of its name, a third of its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct EndpointTag(pub u32);

impl EndpointTag {
    /// The tag of an endpoint's name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// Requests under way at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadCount {
    /// The endpoint.
    pub endpoint: EndpointTag,
    /// How many.
    pub count: u32,
}

/// Part of the mean from which an endpoint's load is worth telling.
///
/// Edges only have to know which endpoints are near the bound; telling the others too would double
/// what a registry's link carries.
const TOLD_PART: f64 = 0.8;

/// Endpoints told of at once, the fullest first: only those near the bound matter, and at thousands
/// of endpoints and hundreds of edges the rest would fill a registry's link.
const MAX_CHANGES: usize = 300;

/// Edges whose loads one registry takes and tells at the full pace.
///
/// Each sends it five messages a second and is sent as many; far more would take all of a small
/// VM's processor.
const EDGES_AT_FULL_PACE: u32 = 100;

/// How many times rarer loads are told than by a few edges.
pub fn load_interval_factor(edges: u32) -> u32 {
    edges.div_ceil(EDGES_AT_FULL_PACE).max(1)
}

/// What one edge has told one registry of its requests under way.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CountReport {
    /// Invariant: no count is zero.
    told: BTreeMap<EndpointTag, u32>,
}

impl CountReport {
    /// What has to be told so that the registry knows `current`, and nothing besides.
    ///
    /// A registry that is no longer the one that adds up is told of nothing under way: otherwise it
    /// would go on telling counts of long ago, all engines would seem fuller than they are, and
    /// the bound with them.
    pub fn changes(&mut self, current: &BTreeMap<EndpointTag, u32>) -> Vec<LoadCount> {
        let known = self.told.keys().chain(current.keys());
        let endpoints: BTreeSet<EndpointTag> = known.copied().collect();
        let mut changes = Vec::new();
        for endpoint in endpoints {
            let count = current.get(&endpoint).copied().unwrap_or(0);
            if self.count(endpoint) != count {
                changes.push(LoadCount { endpoint, count });
            }
        }
        self.told = current.clone();
        self.told.retain(|_, count| *count > 0);
        changes
    }

    /// What was told of an endpoint.
    pub fn count(&self, endpoint: EndpointTag) -> u32 {
        self.told.get(&endpoint).copied().unwrap_or(0)
    }
}

/// Who tells a registry of requests under way, by the address that a new connection has too.
///
/// A process that connects anew may be back seconds before its former connection is found dead. Named
/// by connections it would count twice until then: engines would seem fuller than they are, and
/// callers be refused while there is room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadSource {
    /// An edge that takes this registry for its home.
    Edge(SocketAddr),
    /// Another registry, with the sums of the edges whose home it is.
    Registry(SocketAddr),
}

/// What the edges have under way, added up by the registries together.
///
/// Sixty edges that each send one request in a while to the engine that holds a busy text see
/// nothing of each other; one notices engines far above the mean. Readings come with an answer's
/// beginning, too late and too rarely at one edge. Here every edge's count is known a moment later.
/// Each registry adds up the edges whose home it is, tells the sums to the other registries, and
/// the totals to its own edges; so what one of them sends and takes grows with its part of the fleet.
#[derive(Debug, Default)]
pub struct LoadTotals {
    sources: BTreeMap<LoadSource, BTreeMap<EndpointTag, u32>>,
    /// Sums over this registry's edges.
    ///
    /// Invariant: no count is zero.
    own: BTreeMap<EndpointTag, u32>,
    /// Sums over all edges.
    totals: BTreeMap<EndpointTag, u32>,
    /// What this registry's edges were told last.
    told: BTreeMap<EndpointTag, u32>,
    /// What the other registries were told last.
    report: CountReport,
}

impl LoadTotals {
    /// Takes counts of a source that have changed.
    pub fn update(&mut self, source: LoadSource, counts: &[LoadCount]) {
        let known = self.sources.entry(source).or_default();
        for change in counts {
            let before = match change.count {
                0 => known.remove(&change.endpoint),
                count => known.insert(change.endpoint, count),
            };
            let before = before.unwrap_or(0);
            shift(&mut self.totals, change.endpoint, before, change.count);
            if matches!(source, LoadSource::Edge(_)) {
                shift(&mut self.own, change.endpoint, before, change.count);
            }
        }
    }

    /// A source is gone or starts to tell anew, and what it had under way counts no longer.
    pub fn drop_source(&mut self, source: LoadSource) {
        for (endpoint, count) in self.sources.remove(&source).unwrap_or_default() {
            shift(&mut self.totals, endpoint, count, 0);
            if matches!(source, LoadSource::Edge(_)) {
                shift(&mut self.own, endpoint, count, 0);
            }
        }
    }

    /// Sums over this registry's edges that the other registries have to be told since the last time.
    pub fn own_changes(&mut self) -> Vec<LoadCount> {
        self.report.changes(&self.own)
    }

    /// All that the other registries were told, for one that was just reached.
    pub fn own_published(&self) -> Vec<LoadCount> {
        load_counts(&self.report.told)
    }

    /// Totals that this registry's edges have to be told since the last time.
    pub fn changes(&mut self) -> Vec<LoadCount> {
        let sum: u32 = self.totals.values().sum();
        let mean = f64::from(sum) / self.totals.len().max(1) as f64;
        let is_told = |total: u32| f64::from(total) >= mean * TOLD_PART;
        let mut changes = Vec::new();
        for (&endpoint, &count) in &self.totals {
            let before = self.told.get(&endpoint).copied();
            let is_changed = match before {
                Some(before) => before != count,
                None => is_told(count),
            };
            if is_changed {
                changes.push(LoadCount { endpoint, count });
            }
        }
        for &endpoint in self.told.keys() {
            if !self.totals.contains_key(&endpoint) {
                let count = 0;
                changes.push(LoadCount { endpoint, count });
            }
        }
        if changes.len() > MAX_CHANGES {
            changes.sort_by_key(|change| std::cmp::Reverse(change.count));
            changes.truncate(MAX_CHANGES);
        }
        for change in &changes {
            match change.count {
                0 => self.told.remove(&change.endpoint),
                count => self.told.insert(change.endpoint, count),
            };
        }
        changes
    }

    /// All that this registry's edges were told, for one that has just come.
    pub fn published(&self) -> Vec<LoadCount> {
        load_counts(&self.told)
    }
}

/// Takes into a sum that one of its parts has changed; sums of nothing are left out.
fn shift(sums: &mut BTreeMap<EndpointTag, u32>, endpoint: EndpointTag, before: u32, after: u32) {
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
