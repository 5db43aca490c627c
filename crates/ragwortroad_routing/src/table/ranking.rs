use crate::{
    EndpointKey,
    RouteQuery,
    RouteSettings,
    table::route_table::PoolEntry, //
};

/// The order in which one request would have the endpoints of a pool, by hash.
///
/// Rendezvous hashing: each endpoint has a score for each key, and the highest score wins. All
/// nodes that know the same endpoints agree without a message; a node that misses one endpoint
/// disagrees only on the keys that belong there.
///
/// Where the prompt begins with a text long enough to be shared (a school's lesson plan), the first
/// few places are ranked by that text, so that its chats share an engine's copy of it, and the
/// chat decides among these. For every few of them that are full, one more beyond the full ones
/// takes part: were it only the next one, all nodes would send all chats of a text that is much asked for
/// to the same engine, which is full before they hear of it.
#[derive(Clone, Debug)]
pub(crate) struct Ranking {
    /// The key that ranks the endpoints.
    group_key: u64,
    /// The key that decides among the first of them.
    member_key: u64,
    /// Open places that take part while none is full.
    width: usize,
    /// Whether the less loaded of the two best is taken.
    two_choices: bool,
    /// Places that turned out full.
    skipped: Vec<EndpointKey>,
}

/// Homes that said "full" after which a request leaves the order of its shared text: this node's
/// view of the loads is too old to find room in the place where all others look for it.
const REFUSALS_FOR_OWN_ORDER: u32 = 4;

/// Full places at the head of the order for which one more open place takes part.
const FULL_FOR_ONE_MORE: usize = 8;

/// Places at the head of the order that are looked at; beyond, the chat's own order decides.
const HEAD: usize = 16;

/// The score of an endpoint or node with `seed` for `key`.
pub(crate) fn score(seed: u64, key: u64) -> u64 {
    let mut link = seed ^ key;
    link = (link ^ (link >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    link = (link ^ (link >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    link ^ (link >> 32)
}

impl Ranking {
    /// The order for `query`. A chat with a `known` place that is full takes the same second place
    /// each time; only one without any may look for the less loaded.
    pub(crate) fn new(query: &RouteQuery<'_>, settings: &RouteSettings, known: bool) -> Self {
        let member_key = query.chat.map_or(query.salt, |chat| chat.0);
        let shared = settings
            .shared_prefix_block
            .checked_sub(1)
            .and_then(|block| query.prefixes.get(block))
            .filter(|_| query.refusals < REFUSALS_FOR_OWN_ORDER);
        let two_choices = settings.two_choices && !known;
        let (group_key, width) = match shared {
            Some(prefix) => (prefix.0, settings.shared_prefix_engines.clamp(1, HEAD)),
            None if two_choices => (member_key, 2),
            None => (member_key, 1),
        };
        Self {
            group_key,
            member_key,
            width,
            two_choices,
            skipped: Vec::new(),
        }
    }

    /// Leaves `key` out from now on.
    pub(crate) fn skip(&mut self, key: EndpointKey) {
        self.skipped.push(key);
    }

    /// The best endpoint of `pool` that is open, if there is one.
    pub(crate) fn best(
        &self,
        pool: &[PoolEntry],
        open: impl Fn(EndpointKey) -> bool,
        fill: impl Fn(EndpointKey) -> f64,
    ) -> Option<EndpointKey> {
        let open = |key: EndpointKey| !self.skipped.contains(&key) && open(key);
        let mut head = RankHead::default();
        for entry in pool {
            head.offer(score(entry.seed, self.group_key), *entry);
        }
        let mut best = RankPair::default();
        let (mut members, mut full) = (0, 0);
        for entry in head.entries() {
            if members == self.width + full / FULL_FOR_ONE_MORE {
                break;
            }
            if open(entry.key) {
                members += 1;
                best.offer(score(entry.seed, self.member_key), entry.key);
            } else {
                full += 1;
            }
        }
        if members == 0 {
            // The head is full: the chat's own order, over all.
            for entry in pool {
                let rank = score(entry.seed, self.member_key);
                if best.takes(rank) && open(entry.key) {
                    best.offer(rank, entry.key);
                }
            }
        }
        match (best.first, best.second) {
            (Some((_, first)), Some((_, second))) if self.two_choices => {
                let lighter = fill(second) < fill(first);
                Some(if lighter { second } else { first })
            }
            (first, _) => first.map(|(_, key)| key),
        }
    }
}

/// The highest ranked entries of a pool.
struct RankHead {
    /// Invariant: the first `count` are in falling order of rank.
    ranked: [(u64, PoolEntry); HEAD],
    count: usize,
}

impl Default for RankHead {
    fn default() -> Self {
        let nobody = PoolEntry {
            seed: 0,
            key: EndpointKey(0),
        };
        Self {
            ranked: [(0, nobody); HEAD],
            count: 0,
        }
    }
}

impl RankHead {
    /// Puts an entry in its place, if it belongs to the head.
    fn offer(&mut self, rank: u64, entry: PoolEntry) {
        if self.count == HEAD && rank <= self.ranked[HEAD - 1].0 {
            return;
        }
        let ahead = |(other, _): &(u64, PoolEntry)| *other > rank;
        let place = self.ranked[..self.count].partition_point(ahead);
        let end = (self.count + 1).min(HEAD);
        self.ranked.copy_within(place..end - 1, place + 1);
        self.ranked[place] = (rank, entry);
        self.count = end;
    }

    fn entries(&self) -> impl Iterator<Item = &PoolEntry> {
        self.ranked[..self.count].iter().map(|(_, entry)| entry)
    }
}

/// The two highest ranked of some endpoints.
#[derive(Default)]
struct RankPair {
    first: Option<(u64, EndpointKey)>,
    second: Option<(u64, EndpointKey)>,
}

impl RankPair {
    /// Whether an endpoint of this rank would be one of the two.
    fn takes(&self, rank: u64) -> bool {
        self.second.is_none_or(|(least, _)| rank > least)
    }

    fn offer(&mut self, rank: u64, key: EndpointKey) {
        if self.first.is_none_or(|(most, _)| rank > most) {
            self.second = self.first.replace((rank, key));
        } else if self.takes(rank) {
            self.second = Some((rank, key));
        }
    }
}
