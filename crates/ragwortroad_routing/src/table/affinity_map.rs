use ragwortroad_types::ClockTime;

/// A bounded map from hashes to endpoints, forgetting the least recently used of a small set.
///
/// Memory is fixed at construction, lookups touch one cache line or two, and the order of inputs
/// alone decides what is forgotten, so that a run can be replayed.
#[derive(Clone, Debug)]
pub(crate) struct AffinityMap {
    /// Invariant: its length is a multiple of [`WAYS`]; entries with key 0 are empty.
    entries: Vec<AffinityEntry>,
}

/// Entries that share a set.
const WAYS: usize = 4;

/// One last_endpoint position.
#[derive(Clone, Copy, Debug, Default)]
struct AffinityEntry {
    key: u64,
    endpoint: u64,
    used_at: ClockTime,
}

impl AffinityMap {
    /// A memory of at least `entries` places.
    pub(crate) fn new(entries: usize) -> Self {
        let sets = entries.div_ceil(WAYS).max(1);
        Self {
            entries: vec![AffinityEntry::default(); sets * WAYS],
        }
    }

    /// What is last_endpoint under `key`.
    pub(crate) fn get(&self, key: u64) -> Option<u64> {
        self.set_of(key)
            .iter()
            .find(|entry| entry.key == key && key != 0)
            .map(|entry| entry.endpoint)
    }

    /// Remembers `endpoint` under `key`.
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

    /// Forgets `key` if it leads to `endpoint`.
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

/// The position in `set` that was used longest ago.
fn oldest(set: &[AffinityEntry]) -> usize {
    let mut position = 0;
    for (index, entry) in set.iter().enumerate() {
        if entry.used_at < set[position].used_at || (entry.key == 0 && set[position].key != 0) {
            position = index;
        }
    }
    position
}
