use std::collections::{
    BTreeMap,
    BTreeSet,
    VecDeque, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ClaimCount,
    ClaimRules,
    StateTime,
    claim::{
        claim_entry::{
            ClaimEntry,
            ClaimPhase, //
        },
        claim_key::fingerprint, //
    }, //
};

/// The idempotency keys of one customer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct CustomerClaims {
    pub(crate) entries: BTreeMap<[u8; 16], ClaimEntry>,
    /// Keys in the order in which they were claimed.
    ///
    /// Invariant: has every entry under its `claimed_at`; may also have the times of earlier
    /// claims.
    queue: VecDeque<(StateTime, [u8; 16])>,
    /// Fingerprints of undated keys past the window.
    spent: BTreeSet<u64>,
    /// The number of undated keys in `entries`.
    undated: u32,
    /// Keys with a recorded response, oldest response first.
    answers: VecDeque<[u8; 16]>,
    /// Total bytes of the recorded responses.
    answer_bytes: usize,
    /// The revision of the operator's declaration for which `spent` was last cleared.
    forgotten: u64,
}

impl CustomerClaims {
    /// Whether an undated key with this fingerprint was used and is past the window.
    pub(crate) fn is_spent(&self, key: u64) -> bool {
        self.spent.contains(&key)
    }

    /// Whether one more undated key can be remembered for good.
    ///
    /// Keys within the window count too, since each needs a fingerprint later.
    pub(crate) fn has_room_for_undated(&self, rules: &ClaimRules) -> bool {
        self.spent.len() + (self.undated as usize) < rules.spent_per_customer as usize
    }

    /// Clears the fingerprints if the operator has declared since that they will not be used again.
    pub(crate) fn clear_spent(&mut self, forgotten: u64) {
        if self.forgotten < forgotten {
            self.forgotten = forgotten;
            self.spent.clear();
        }
    }

    /// Inserts or replaces the record of a key.
    pub(crate) fn insert_entry(&mut self, digest: [u8; 16], entry: ClaimEntry) {
        self.queue.push_back((entry.claimed_at, digest));
        let undated = entry.issued_ms.is_none();
        if self.entries.insert(digest, entry).is_none() && undated {
            self.undated += 1;
        }
    }

    /// Records that a response was added, and reduces the oldest responses to their status while
    /// the total exceeds the budget.
    pub(crate) fn record_answer(&mut self, digest: [u8; 16], bytes: usize, rules: &ClaimRules) {
        self.answers.push_back(digest);
        self.answer_bytes += bytes;
        while self.answer_bytes > rules.answer_budget as usize {
            let Some(oldest) = self.answers.pop_front() else {
                break;
            };
            self.discard_answer(&oldest);
        }
    }

    fn discard_answer(&mut self, digest: &[u8; 16]) {
        let entry = self.entries.get_mut(digest);
        if let Some(entry) = entry
            && let ClaimPhase::Answered(answer) = &entry.phase
        {
            let status = answer.status;
            self.answer_bytes -= answer.length();
            entry.phase = ClaimPhase::Ran { status };
        }
    }

    /// Removes up to `max_keys` keys that are past the window at `now` and whose date, if any, is
    /// before `floor_ms`.
    pub(crate) fn expire(
        &mut self,
        now: StateTime,
        floor_ms: u64,
        rules: &ClaimRules,
        max_keys: u32,
    ) {
        let window = std::time::Duration::from_secs(rules.window_s.into());
        for _ in 0..max_keys {
            let Some((claimed_at, digest)) = self.queue.front().copied() else {
                break;
            };
            let entry = self.entries.get(&digest);
            let Some(entry) = entry.filter(|entry| entry.claimed_at == claimed_at) else {
                self.queue.pop_front();
                continue;
            };
            let remembered = entry.issued_ms.is_some_and(|issued| issued >= floor_ms);
            if claimed_at.after(window) >= now || remembered {
                break;
            }
            self.queue.pop_front();
            self.drop_entry(&digest);
        }
    }

    /// Removes keys from the front of `answers` whose response is gone.
    fn prune_answers(&mut self) {
        while let Some(digest) = self.answers.front() {
            let entry = self.entries.get(digest);
            if entry.is_some_and(|entry| matches!(entry.phase, ClaimPhase::Answered(_))) {
                break;
            }
            self.answers.pop_front();
        }
    }

    fn drop_entry(&mut self, digest: &[u8; 16]) {
        self.discard_answer(digest);
        self.prune_answers();
        let Some(entry) = self.entries.remove(digest) else {
            return;
        };
        if entry.issued_ms.is_none() {
            self.undated -= 1;
            if entry.may_have_run() {
                self.spent.insert(fingerprint(digest));
            }
        }
    }

    /// Counts the remembered keys.
    pub(crate) fn count(&self) -> ClaimCount {
        let phases = self.entries.values().map(|entry| &entry.phase);
        ClaimCount {
            kept: self.entries.len(),
            running: phases
                .filter(|phase| **phase == ClaimPhase::Running)
                .count(),
            spent: self.spent.len(),
        }
    }
}
