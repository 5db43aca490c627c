use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::EndpointKey;

/// Engines kept for one prefix; a prefix used by a third of the requests of a class keeps about ten
/// engines busy.
const MAX_HOLDERS: usize = 16;

/// Prefixes kept; each takes about a hundred bytes.
const MAX_PREFIXES: usize = 50_000;

/// Time without use after which an engine no longer counts as holding a prefix.
///
/// Engines evict the least recently used entries when memory runs out. A wrong entry costs one
/// computation of the prefix, as does a missing one.
const HOLDER_TTL: Duration = Duration::from_secs(600);

/// Engines that hold shared prefixes, as exchanged between all edges.
///
/// Edges agree on a prefix's engine by hashing, without coordination, but each engine that comes or
/// goes moves prefixes: one in thirteen if a thirteenth engine joins. All of those would be
/// computed again although the engine that holds them is healthy, which shows as many recomputed
/// tokens after each replacement. With this table, a prefix stays where it was computed first.
#[derive(Debug, Default)]
pub struct PrefixTable {
    /// Invariant: no list is empty.
    prefixes: HashMap<u64, Vec<PrefixHolder>>,
    /// Prefixes by time of last use, for eviction.
    ///
    /// Invariant: one entry for each prefix, with the latest use at any of its holders.
    ages: BTreeMap<(ClockTime, u64), ()>,
    /// Prefixes by engine.
    ///
    /// Invariant: holds each holder in `prefixes` once; no set is empty.
    engines: HashMap<EndpointKey, BTreeSet<u64>>,
}

#[derive(Clone, Copy, Debug)]
struct PrefixHolder {
    engine: EndpointKey,
    used_at: ClockTime,
}

impl PrefixTable {
    /// Records that an engine computes a prefix; returns whether this location is new.
    pub fn note(&mut self, prefix: u64, engine: EndpointKey, now: ClockTime) -> bool {
        let holders = self.prefixes.entry(prefix).or_default();
        if let Some(used_at) = last_use(holders) {
            self.ages.remove(&(used_at, prefix));
        }
        holders.retain(|holder| {
            let is_fresh = now.since(holder.used_at) < HOLDER_TTL;
            if !is_fresh {
                remove_prefix(&mut self.engines, holder.engine, prefix);
            }
            is_fresh
        });
        let known = holders.iter_mut().find(|holder| holder.engine == engine);
        let is_new = known.is_none();
        match known {
            Some(holder) => holder.used_at = now,
            None => {
                holders.push(PrefixHolder {
                    engine,
                    used_at: now,
                });
                self.engines.entry(engine).or_default().insert(prefix);
            }
        }
        if holders.len() > MAX_HOLDERS {
            let oldest = holders.iter().enumerate();
            let oldest = oldest.min_by_key(|(_, holder)| holder.used_at);
            if let Some((index, _)) = oldest {
                let evicted = holders.swap_remove(index);
                remove_prefix(&mut self.engines, evicted.engine, prefix);
            }
        }
        self.ages.insert((now, prefix), ());
        if self.ages.len() > MAX_PREFIXES
            && let Some(((_, oldest), ())) = self.ages.pop_first()
        {
            for holder in self.prefixes.remove(&oldest).into_iter().flatten() {
                remove_prefix(&mut self.engines, holder.engine, oldest);
            }
        }
        is_new
    }

    /// Returns the engines believed to hold a prefix.
    pub fn holders(&self, prefix: u64, now: ClockTime) -> impl Iterator<Item = EndpointKey> {
        let holders = self.prefixes.get(&prefix).into_iter().flatten();
        let fresh = holders.filter(move |holder| now.since(holder.used_at) < HOLDER_TTL);
        fresh.map(|holder| holder.engine)
    }

    /// Returns up to `most` locations of the most recently used prefixes, the newest last.
    pub fn newest(&self, most: usize) -> Vec<(u64, EndpointKey)> {
        let prefixes = self.ages.keys().rev().map(|(_, prefix)| *prefix);
        let holders = prefixes.flat_map(|prefix| {
            let holders = self.prefixes.get(&prefix).into_iter().flatten();
            holders.map(move |holder| (prefix, holder.engine))
        });
        let mut locations: Vec<_> = holders.take(most).collect();
        locations.reverse();
        locations
    }

    /// Removes all prefixes of an engine that has restarted or is gone.
    pub fn forget(&mut self, engine: EndpointKey) {
        for prefix in self.engines.remove(&engine).into_iter().flatten() {
            let Some(holders) = self.prefixes.get_mut(&prefix) else {
                continue;
            };
            if let Some(used_at) = last_use(holders) {
                self.ages.remove(&(used_at, prefix));
            }
            holders.retain(|holder| holder.engine != engine);
            match last_use(holders) {
                Some(used_at) => {
                    self.ages.insert((used_at, prefix), ());
                }
                None => {
                    self.prefixes.remove(&prefix);
                }
            }
        }
    }
}

/// Returns when a prefix was last used at any of its holders.
fn last_use(holders: &[PrefixHolder]) -> Option<ClockTime> {
    holders.iter().map(|holder| holder.used_at).max()
}

fn remove_prefix(
    engines: &mut HashMap<EndpointKey, BTreeSet<u64>>,
    engine: EndpointKey,
    prefix: u64,
) {
    let Some(prefixes) = engines.get_mut(&engine) else {
        return;
    };
    prefixes.remove(&prefix);
    if prefixes.is_empty() {
        engines.remove(&engine);
    }
}
