use std::collections::HashMap;

use ragwortroad_types::prelude::*;

use crate::PartSettings;

/// Parts on which this process has seen endpoints write recently.
///
/// An endpoint may crash under a part that others have yet to report, or that was sound until then.
#[derive(Debug, Default)]
pub(super) struct RecentWrites {
    /// When an endpoint last began to write on each part and went on.
    ///
    /// Invariant: at most `PartSettings::max_parts` entries, and as many in `older`.
    newer: HashMap<PartKey, ClockTime>,
    /// Entries from before `newer` was begun.
    older: HashMap<PartKey, ClockTime>,
    /// When `newer` was begun.
    begun_at: ClockTime,
}

impl RecentWrites {
    pub(super) fn note(
        &mut self,
        part: SuspectPart,
        at: ClockTime,
        now: ClockTime,
        settings: &PartSettings,
    ) {
        // No other request has the same content.
        if part.depth == u8::MAX {
            return;
        }
        let is_full = self.newer.len() >= settings.max_parts;
        if is_full || now.since(self.begun_at) >= settings.memory {
            self.older = std::mem::take(&mut self.newer);
            self.begun_at = now;
        }
        let latest = self.newer.entry(part.key).or_insert(at);
        *latest = at.max(*latest);
    }

    pub(super) fn find(&self, part: PartKey) -> Option<ClockTime> {
        let newer = self.newer.get(&part);
        newer.or_else(|| self.older.get(&part)).copied()
    }
}
