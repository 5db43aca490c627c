use std::collections::VecDeque;

use ragwortroad_link::prelude::*;

/// Steps kept for edges that are a few versions behind; a storm of changes brings a dozen a second.
const MAX_DELTAS: usize = 64;

/// Bytes of those deltas; beyond it an edge is sent the whole document, which is not larger.
const MAX_TOTAL_BYTES: usize = 256 << 10;

/// The last deltas of the configuration, each against the one before it.
#[derive(Debug, Default)]
pub(crate) struct DeltaHistory {
    /// Invariant: each delta's base is the version of the delta before it.
    deltas: VecDeque<ConfigDelta>,
    total_bytes: usize,
}

impl DeltaHistory {
    /// Adds the delta to the version now in force.
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

    /// Forgets all, where the configuration came in another way than by a delta.
    pub(crate) fn clear(&mut self) {
        self.deltas.clear();
        self.total_bytes = 0;
    }

    /// The deltas from `version` to the one in force; nothing if they are not all known.
    pub(crate) fn since(&self, version: u64) -> Option<Vec<ConfigDelta>> {
        let first = self
            .deltas
            .iter()
            .position(|delta| delta.base == Some(version))?;
        Some(self.deltas.iter().skip(first).cloned().collect())
    }
}
