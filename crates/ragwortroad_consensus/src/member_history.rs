use crate::MemberSet;

/// The member sets in the log, oldest first.
///
/// A set is in force as soon as it is in the log, whether committed or not. When its entry is
/// truncated, the previous set applies again.
#[derive(Clone, Debug)]
pub(crate) struct MemberHistory {
    /// Invariant: never empty, and indexes increase.
    sets: Vec<(u64, MemberSet)>,
}

impl MemberHistory {
    pub(crate) fn new(index: u64, set: MemberSet) -> Self {
        let sets = vec![(index, set)];
        Self { sets }
    }

    /// Returns the set in force.
    pub(crate) fn latest(&self) -> &MemberSet {
        &self.sets[self.sets.len() - 1].1
    }

    /// Returns the log index of the set in force.
    pub(crate) fn latest_index(&self) -> u64 {
        self.sets[self.sets.len() - 1].0
    }

    /// Returns the set that was in force at `index`.
    pub(crate) fn at(&self, index: u64) -> &MemberSet {
        let mut sets = self.sets.iter().rev();
        let found = sets.find(|(since, _)| *since <= index);
        &found.unwrap_or(&self.sets[0]).1
    }

    pub(crate) fn push(&mut self, index: u64, set: MemberSet) {
        self.sets.push((index, set));
    }

    pub(crate) fn truncate_from(&mut self, from: u64) {
        let kept = self.sets.iter().filter(|(since, _)| *since < from).count();
        self.sets.truncate(kept.max(1));
    }

    /// Discards sets older than the one in force at `index`.
    pub(crate) fn drop_until(&mut self, index: u64) {
        let older = self
            .sets
            .iter()
            .filter(|(since, _)| *since <= index)
            .count();
        self.sets.drain(..older.saturating_sub(1));
    }
}
