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
/// chat decides among these.
#[derive(Clone, Debug)]
pub(crate) struct Ranking {
    /// The key that ranks the endpoints.
    group_key: u64,
    /// The key that decides among the first `width` of them.
    member_key: u64,
    width: usize,
    /// Whether the less loaded of the two best is taken.
    two_choices: bool,
    /// Places that turned out full.
    skipped: Vec<EndpointKey>,
}

/// The most places a group may have.
const WIDTH_LIMIT: usize = 8;

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
            .plan_block
            .checked_sub(1)
            .and_then(|block| query.prefixes.get(block));
        let two_choices = settings.two_choices && !known;
        let (group_key, width) = match shared {
            Some(prefix) => (prefix.0, settings.plan_width.clamp(1, WIDTH_LIMIT)),
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
        let mut group = [(
            0_u64,
            PoolEntry {
                seed: 0,
                key: EndpointKey(0),
            },
        ); WIDTH_LIMIT];
        let mut found = 0;
        for entry in pool {
            let rank = score(entry.seed, self.group_key);
            if found == self.width && rank <= group[found - 1].0 {
                continue;
            }
            if self.skipped.contains(&entry.key) || !open(entry.key) {
                continue;
            }
            let place = group[..found].partition_point(|(other, _)| *other > rank);
            let end = (found + 1).min(self.width);
            group.copy_within(place..end - 1, place + 1);
            group[place] = (rank, *entry);
            found = end;
        }
        let members = &group[..found];
        if self.two_choices {
            return least_filled(members, fill);
        }
        members
            .iter()
            .max_by_key(|(_, entry)| score(entry.seed, self.member_key))
            .map(|(_, entry)| entry.key)
    }
}

/// The member that is filled least; the first of equals.
fn least_filled(
    members: &[(u64, PoolEntry)],
    fill: impl Fn(EndpointKey) -> f64,
) -> Option<EndpointKey> {
    let mut best: Option<(f64, EndpointKey)> = None;
    for (_, entry) in members {
        let filled = fill(entry.key);
        if best.is_none_or(|(least, _)| filled < least) {
            best = Some((filled, entry.key));
        }
    }
    best.map(|(_, key)| key)
}
