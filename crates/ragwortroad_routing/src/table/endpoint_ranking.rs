use crate::{
    EndpointKey,
    RouteQuery,
    RouteSettings,
    table::route_table::PoolEntry, //
};

/// The order in which one request prefers the endpoints of a pool, by hash.
///
/// Rendezvous hashing: each endpoint has a score for each key, and the highest score wins. All
/// nodes that know the same endpoints agree without a message. A node that does not know one of
/// them disagrees only on the keys that belong to that endpoint.
///
/// Where the prompt starts with a prefix long enough to be shared (a school's lesson plan), the
/// prefix selects the first few endpoints, so that its chats share an engine's cached copy, and the
/// chat selects among these. For every few of them that are full, one more endpoint beyond the full
/// ones becomes a candidate. With only the next one, all nodes would send all chats of a popular
/// prefix to the same engine, which would be full before its load reaches them.
#[derive(Clone, Debug)]
pub(crate) struct EndpointRanking {
    /// Hash key that ranks the endpoints.
    group_key: u64,
    /// Hash key that selects among the first of them.
    member_key: u64,
    /// Candidates while none of the first endpoints is full.
    min_candidates: usize,
    /// Whether the less loaded of the two best candidates is chosen.
    two_choices: bool,
    /// Endpoints that turned out to be full.
    skipped: Vec<EndpointKey>,
}

/// Refusals by homes after which a request no longer follows the order of its shared prefix: this
/// node's load data is too old to find capacity among the endpoints where all other nodes look too.
const REFUSALS_BEFORE_CHAT_ORDER: u32 = 4;

/// Full endpoints at the head of the order for each additional candidate.
const FULL_PER_EXTRA_CANDIDATE: usize = 8;

/// Endpoints at the head of the order that are considered; after them the chat's own order decides.
const HEAD_LENGTH: usize = 16;

/// Returns the score for `key` of the endpoint or node with `seed`.
pub(crate) fn score(seed: u64, key: u64) -> u64 {
    let mut hash = seed ^ key;
    hash = (hash ^ (hash >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    hash = (hash ^ (hash >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    hash ^ (hash >> 32)
}

impl EndpointRanking {
    /// Creates the order for `query`. A chat that `has_context` at a full endpoint always falls
    /// back to the same second one; only a chat without context may choose the less loaded of two.
    pub(crate) fn new(query: &RouteQuery<'_>, settings: &RouteSettings, has_context: bool) -> Self {
        let member_key = query.chat.map_or(query.salt, |chat| chat.0);
        let shared = settings
            .shared_prefix_block
            .checked_sub(1)
            .and_then(|block| query.prefixes.get(block))
            .filter(|_| query.refusals < REFUSALS_BEFORE_CHAT_ORDER);
        let two_choices = settings.two_choices && !has_context;
        let (group_key, min_candidates) = match shared {
            Some(prefix) => (
                prefix.0,
                settings.shared_prefix_engines.clamp(1, HEAD_LENGTH),
            ),
            None if two_choices => (member_key, 2),
            None => (member_key, 1),
        };
        Self {
            group_key,
            member_key,
            min_candidates,
            two_choices,
            skipped: Vec::new(),
        }
    }

    /// Excludes `key` from now on.
    pub(crate) fn skip(&mut self, key: EndpointKey) {
        self.skipped.push(key);
    }

    /// Returns the best available endpoint of `pool`, where `open` tells which are available and
    /// `fill` how loaded they are.
    pub(crate) fn best(
        &self,
        pool: &[PoolEntry],
        open: impl Fn(EndpointKey) -> bool,
        fill: impl Fn(EndpointKey) -> f64,
    ) -> Option<EndpointKey> {
        let open = |key: EndpointKey| !self.skipped.contains(&key) && open(key);
        let mut head = TopEntries::default();
        for entry in pool {
            head.insert(score(entry.seed, self.group_key), *entry);
        }
        let mut best = TopPair::default();
        let (mut candidates, mut full) = (0, 0);
        for entry in head.entries() {
            if candidates == self.min_candidates + full / FULL_PER_EXTRA_CANDIDATE {
                break;
            }
            if open(entry.key) {
                candidates += 1;
                best.insert(score(entry.seed, self.member_key), entry.key);
            } else {
                full += 1;
            }
        }
        if candidates == 0 {
            // The head of the order is full: the chat's own order decides among all.
            for entry in pool {
                let rank = score(entry.seed, self.member_key);
                if best.accepts(rank) && open(entry.key) {
                    best.insert(rank, entry.key);
                }
            }
        }
        match (best.first, best.second) {
            (Some((_, first)), Some((_, second))) if self.two_choices => {
                let second_is_lighter = fill(second) < fill(first);
                Some(if second_is_lighter { second } else { first })
            }
            (first, _) => first.map(|(_, key)| key),
        }
    }
}

/// The highest-ranked entries of a pool.
struct TopEntries {
    /// Invariant: the first `count` are in descending order of rank.
    ranked: [(u64, PoolEntry); HEAD_LENGTH],
    count: usize,
}

impl Default for TopEntries {
    fn default() -> Self {
        let placeholder = PoolEntry {
            seed: 0,
            key: EndpointKey(0),
        };
        Self {
            ranked: [(0, placeholder); HEAD_LENGTH],
            count: 0,
        }
    }
}

impl TopEntries {
    /// Inserts an entry at its rank if it belongs to the head of the order.
    fn insert(&mut self, rank: u64, entry: PoolEntry) {
        if self.count == HEAD_LENGTH && rank <= self.ranked[HEAD_LENGTH - 1].0 {
            return;
        }
        let ranks_higher = |(other, _): &(u64, PoolEntry)| *other > rank;
        let position = self.ranked[..self.count].partition_point(ranks_higher);
        let end = (self.count + 1).min(HEAD_LENGTH);
        self.ranked.copy_within(position..end - 1, position + 1);
        self.ranked[position] = (rank, entry);
        self.count = end;
    }

    fn entries(&self) -> impl Iterator<Item = &PoolEntry> {
        self.ranked[..self.count].iter().map(|(_, entry)| entry)
    }
}

/// The two highest-ranked of the endpoints inserted.
#[derive(Default)]
struct TopPair {
    first: Option<(u64, EndpointKey)>,
    second: Option<(u64, EndpointKey)>,
}

impl TopPair {
    /// Whether an endpoint of this rank would be one of the two.
    fn accepts(&self, rank: u64) -> bool {
        self.second.is_none_or(|(least, _)| rank > least)
    }

    fn insert(&mut self, rank: u64, key: EndpointKey) {
        if self.first.is_none_or(|(most, _)| rank > most) {
            self.second = self.first.replace((rank, key));
        } else if self.accepts(rank) {
            self.second = Some((rank, key));
        }
    }
}
