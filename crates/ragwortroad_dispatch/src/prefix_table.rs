use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration, //
};

use ragwortroad_types::prelude::*;

use crate::EndpointKey;

/// Engines remembered for one prefix; a prefix that a third of a class asks for keeps about ten busy.
const MAX_HOLDERS: usize = 16;

/// Texts remembered; each takes about a hundred bytes.
const MAX_PREFIXES: usize = 50_000;

/// How long an engine is taken to hold a prefix that nobody used there since.
///
/// Engines drop what was used least recently when memory runs out; a wrong guess costs one reading,
/// as forgetting does.
const HOLDER_TTL: Duration = Duration::from_secs(600);

/// Which engines have read which shared prefix, as all edges tell each other.
///
/// Edges agree on a prefix's engine by a hash without any message, but each engine that comes or
/// goes moves prefixes: one in thirteen when one comes, which all have to be read again although the
/// engine that has them is well. One notices many tokens read again after each replacement. With
/// this table a prefix stays where it was read first.
#[derive(Debug, Default)]
pub struct PrefixTable {
    prefixes: HashMap<u64, Vec<PrefixHolder>>,
    /// Texts by when they were used last, to forget the oldest.
    ///
    /// Invariant: one entry for each prefix.
    ages: BTreeMap<(ClockTime, u64), ()>,
}

#[derive(Clone, Copy, Debug)]
struct PrefixHolder {
    engine: EndpointKey,
    used_at: ClockTime,
}

impl PrefixTable {
    /// Notes that a prefix is read at an engine; tells whether that was not known.
    pub fn note(&mut self, prefix: u64, engine: EndpointKey, now: ClockTime) -> bool {
        let holders = self.prefixes.entry(prefix).or_default();
        let before = holders.iter().map(|holder| holder.used_at).max();
        if let Some(before) = before {
            self.ages.remove(&(before, prefix));
        }
        holders.retain(|holder| now.since(holder.used_at) < HOLDER_TTL);
        let known = holders.iter_mut().find(|holder| holder.engine == engine);
        let is_news = known.is_none();
        match known {
            Some(holder) => holder.used_at = now,
            None => holders.push(PrefixHolder {
                engine,
                used_at: now,
            }),
        }
        if holders.len() > MAX_HOLDERS {
            let oldest = holders.iter().enumerate();
            let oldest = oldest.min_by_key(|(_, holder)| holder.used_at);
            if let Some((index, _)) = oldest {
                holders.swap_remove(index);
            }
        }
        self.ages.insert((now, prefix), ());
        if self.ages.len() > MAX_PREFIXES
            && let Some(((_, oldest), ())) = self.ages.pop_first()
        {
            self.prefixes.remove(&oldest);
        }
        is_news
    }

    /// Engines that hold a prefix, by the best knowledge here.
    pub fn holders(&self, prefix: u64, now: ClockTime) -> impl Iterator<Item = EndpointKey> {
        let holders = self.prefixes.get(&prefix).into_iter().flatten();
        let fresh = holders.filter(move |holder| now.since(holder.used_at) < HOLDER_TTL);
        fresh.map(|holder| holder.engine)
    }

    /// Up to `most` places of the prefixes that were used last, the newest last.
    pub fn newest(&self, most: usize) -> Vec<(u64, EndpointKey)> {
        let prefixes = self.ages.keys().rev().map(|(_, prefix)| *prefix);
        let holders = prefixes.flat_map(|prefix| {
            let holders = self.prefixes.get(&prefix).into_iter().flatten();
            holders.map(move |holder| (prefix, holder.engine))
        });
        let mut places: Vec<_> = holders.take(most).collect();
        places.reverse();
        places
    }

    /// An engine has started anew, or is gone: it holds nothing.
    pub fn forget(&mut self, engine: EndpointKey) {
        for holders in self.prefixes.values_mut() {
            holders.retain(|holder| holder.engine != engine);
        }
    }
}
