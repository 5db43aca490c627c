//! Advances the commit index and emits committed entries for the state machine.

use crate::{
    ConsensusCore,
    CoreAction,
    EntryPayload,
    ProposeResult, //
};

impl ConsensusCore {
    /// Commits and applies all entries up to `index`, which are durable on a quorum.
    pub(crate) fn commit_to(&mut self, index: u64) {
        let index = index.min(self.log.last().index);
        self.commit = self.commit.max(index);
        while self.applied < self.commit && !self.has_failed {
            self.apply_next();
        }
    }

    fn apply_next(&mut self) {
        let index = self.applied + 1;
        let Some(entry) = self.log.entry(index) else {
            return self.fail_apply();
        };
        let term = entry.term;
        self.applied_bytes += entry.bytes.len();
        match EntryPayload::decode(&entry.bytes) {
            Ok(EntryPayload::Noop) => {}
            Ok(EntryPayload::Command(command)) => {
                self.out.push(CoreAction::Apply {
                    index,
                    term,
                    command,
                });
            }
            Ok(EntryPayload::Members(members)) => {
                self.out.push(CoreAction::MembersChanged { index, members });
            }
            Err(_) => return self.fail_apply(),
        }
        self.applied = index;
        self.complete_proposal(index, term);
    }

    /// Fails this member because an entry cannot be read: skipping it would make the replicas'
    /// states diverge.
    fn fail_apply(&mut self) {
        self.step_down();
        self.has_failed = true;
    }

    fn complete_proposal(&mut self, index: u64, term: u64) {
        let state = self.leader_state_mut();
        let token = state.and_then(|state| state.proposals.remove(&index));
        if let Some(token) = token {
            let result = ProposeResult::Committed { index, term };
            self.out.push(CoreAction::ProposeDone { token, result });
        }
    }

    /// Requests a snapshot if one is due.
    ///
    /// The request is the last action of an input, so that the state the driver then has is the one
    /// after `applied`.
    pub(crate) fn request_snapshot_if_due(&mut self) {
        let since = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let is_due = self.applied - since >= self.settings.snapshot_threshold_entries
            || self.applied_bytes >= self.settings.snapshot_threshold_bytes;
        if is_due && !self.snapshot_requested {
            self.snapshot_requested = true;
            let index = self.applied;
            self.out.push(CoreAction::TakeSnapshot { index });
        }
    }
}
