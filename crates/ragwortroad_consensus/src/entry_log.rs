use ragwortroad_log::StoredEntry;

use crate::LogPosition;

/// The log entries held in memory, and the position that they follow.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryLog {
    /// Position of the entry before the first one in memory.
    base: LogPosition,
    /// Invariant: contiguous, starting at `base.index + 1`.
    entries: Vec<StoredEntry>,
}

impl EntryLog {
    pub(crate) fn new(base: LogPosition, entries: Vec<StoredEntry>) -> Self {
        Self { base, entries }
    }

    pub(crate) fn base(&self) -> LogPosition {
        self.base
    }

    pub(crate) fn last(&self) -> LogPosition {
        self.entries.last().map_or(self.base, |entry| LogPosition {
            term: entry.term,
            index: entry.index,
        })
    }

    /// Returns the term of the entry at `index`, if it is in memory or is the base.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    pub(crate) fn entry(&self, index: u64) -> Option<&StoredEntry> {
        let at = index.checked_sub(self.base.index + 1)?;
        self.entries.get(at as usize)
    }

    pub(crate) fn push(&mut self, entry: StoredEntry) {
        debug_assert_eq!(entry.index, self.last().index + 1);
        self.entries.push(entry);
    }

    pub(crate) fn truncate_from(&mut self, from: u64) {
        let kept = from.saturating_sub(self.base.index + 1);
        self.entries.truncate(kept as usize);
    }

    /// Returns entries starting at index `from`, up to about `max_bytes` but at least one.
    pub(crate) fn slice(&self, from: u64, max_bytes: usize) -> &[StoredEntry] {
        let Some(start) = from.checked_sub(self.base.index + 1) else {
            return &[];
        };
        let rest = self.entries.get(start as usize..).unwrap_or(&[]);
        let mut bytes = 0;
        let fitting = rest.iter().take_while(|entry| {
            bytes += entry.bytes.len();
            bytes <= max_bytes
        });
        let count = fitting.count().max(1).min(rest.len());
        &rest[..count]
    }

    /// Returns the first index of the run of entries that have the same term as the entry at
    /// `index`.
    pub(crate) fn first_index_of_term(&self, index: u64) -> u64 {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base.index && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Discards the entries up to `index` from memory.
    pub(crate) fn drop_until(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let count = index - self.base.index;
        self.entries.drain(..count as usize);
        self.base = LogPosition { term, index };
    }

    /// Discards all entries and continues after `base`.
    pub(crate) fn reset(&mut self, base: LogPosition) {
        self.entries.clear();
        self.base = base;
    }
}
