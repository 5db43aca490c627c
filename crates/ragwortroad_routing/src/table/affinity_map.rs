use ragwortroad_types::ClockTime;

/// A bounded map from hashes to endpoints, organized as a set-associative cache with
/// least-recently-used eviction in each set.
///
/// Memory is allocated once, a lookup touches one or two cache lines, and eviction depends only on
/// the order of inputs, so that a run can be replayed.
#[derive(Clone, Debug)]
pub(crate) struct AffinityMap {
    /// Invariant: the length is a multiple of [`WAYS`], and entries with key 0 are empty.
    entries: Vec<AffinityEntry>,
}

/// Entries per set.
const WAYS: usize = 4;

#[derive(Clone, Copy, Debug, Default)]
struct AffinityEntry {
    key: u64,
    endpoint: u64,
    used_at: ClockTime,
}

impl AffinityMap {
    /// Creates a map with room for at least `entries` endpoints.
    pub(crate) fn new(entries: usize) -> Self {
        let sets = entries.div_ceil(WAYS).max(1);
        Self {
            entries: vec![AffinityEntry::default(); sets * WAYS],
        }
    }

    /// Returns the endpoint stored under `key`.
    pub(crate) fn get(&self, key: u64) -> Option<u64> {
        self.set_of(key)
            .iter()
            .find(|entry| entry.key == key && key != 0)
            .map(|entry| entry.endpoint)
    }

    /// Stores `endpoint` under `key`.
    pub(crate) fn put(&mut self, key: u64, endpoint: u64, now: ClockTime) {
        let range = self.range_of(key);
        let set = &mut self.entries[range];
        let position = match set.iter().position(|entry| entry.key == key) {
            Some(position) => position,
            None => oldest(set),
        };
        set[position] = AffinityEntry {
            key,
            endpoint,
            used_at: now,
        };
    }

    /// Removes `key` if it maps to `endpoint`.
    pub(crate) fn forget(&mut self, key: u64, endpoint: u64) {
        let range = self.range_of(key);
        for entry in &mut self.entries[range] {
            if entry.key == key && entry.endpoint == endpoint {
                *entry = AffinityEntry::default();
            }
        }
    }

    fn range_of(&self, key: u64) -> std::ops::Range<usize> {
        let sets = self.entries.len() / WAYS;
        let set = (key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 16) as usize % sets;
        set * WAYS..(set + 1) * WAYS
    }

    fn set_of(&self, key: u64) -> &[AffinityEntry] {
        &self.entries[self.range_of(key)]
    }
}

/// Returns the index in `set` of an empty entry, or of the least recently used one.
fn oldest(set: &[AffinityEntry]) -> usize {
    let mut position = 0;
    for (index, entry) in set.iter().enumerate() {
        if entry.used_at < set[position].used_at || (entry.key == 0 && set[position].key != 0) {
            position = index;
        }
    }
    position
}
