use std::collections::VecDeque;

use ragwortroad_link::prelude::*;

/// Maximum number of deltas kept for edges that are a few versions behind. Bursts of changes reach
/// a dozen per second.
const MAX_DELTAS: usize = 64;

/// Maximum total size of the kept deltas. Beyond it, a full document is no larger.
const MAX_TOTAL_BYTES: usize = 256 << 10;

/// The most recent deltas of the configuration.
#[derive(Debug, Default)]
pub(crate) struct DeltaHistory {
    /// Invariant: each delta's base is the version of the preceding delta.
    deltas: VecDeque<ConfigDelta>,
    total_bytes: usize,
}

impl DeltaHistory {
    /// Appends the delta that led to the version in force. A delta without a base, or with a base
    /// other than the last version, clears the history.
    pub(crate) fn push(&mut self, delta: ConfigDelta) {
        let last = self.deltas.back().map(|last| last.version);
        if delta.base.is_none() || (last.is_some() && delta.base != last) {
            self.clear();
        }
        if delta.base.is_none() {
            return;
        }
        self.total_bytes += delta.packed.len();
        self.deltas.push_back(delta);
        while self.total_bytes > MAX_TOTAL_BYTES || self.deltas.len() > MAX_DELTAS {
            let Some(dropped) = self.deltas.pop_front() else {
                return;
            };
            self.total_bytes -= dropped.packed.len();
        }
    }

    /// Clears the history after the configuration was replaced other than by a delta.
    pub(crate) fn clear(&mut self) {
        self.deltas.clear();
        self.total_bytes = 0;
    }

    /// The deltas from `version` to the version in force; `None` if any of them is no longer kept.
    pub(crate) fn since(&self, version: u64) -> Option<Vec<ConfigDelta>> {
        let first = self
            .deltas
            .iter()
            .position(|delta| delta.base == Some(version))?;
        Some(self.deltas.iter().skip(first).cloned().collect())
    }
}
