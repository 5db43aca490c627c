use std::collections::VecDeque;

use ragwortroad_link::prelude::*;

/// Steps kept for edges that are a few versions behind; a storm of changes brings a dozen a second.
const MAX_STEPS: usize = 64;

/// Bytes of those steps; beyond it an edge is sent the whole document, which is not larger.
const MAX_BYTES: usize = 256 << 10;

/// The last steps of the configuration, each against the one before it.
#[derive(Debug, Default)]
pub(crate) struct DeltaHistory {
    /// Invariant: each step's base is the version of the step before it.
    steps: VecDeque<ConfigDelta>,
    bytes: usize,
}

impl DeltaHistory {
    /// Adds the step to the version now in force.
    pub(crate) fn push(&mut self, step: ConfigDelta) {
        let last = self.steps.back().map(|last| last.version);
        if step.base.is_none() || (last.is_some() && step.base != last) {
            self.clear();
        }
        if step.base.is_none() {
            return;
        }
        self.bytes += step.packed.len();
        self.steps.push_back(step);
        while self.bytes > MAX_BYTES || self.steps.len() > MAX_STEPS {
            let Some(dropped) = self.steps.pop_front() else {
                return;
            };
            self.bytes -= dropped.packed.len();
        }
    }

    /// Forgets all, where the configuration came in another way than by a step.
    pub(crate) fn clear(&mut self) {
        self.steps.clear();
        self.bytes = 0;
    }

    /// The steps from `version` to the one in force; nothing if they are not all known.
    pub(crate) fn since(&self, version: u64) -> Option<Vec<ConfigDelta>> {
        let first = self
            .steps
            .iter()
            .position(|step| step.base == Some(version))?;
        Some(self.steps.iter().skip(first).cloned().collect())
    }
}
