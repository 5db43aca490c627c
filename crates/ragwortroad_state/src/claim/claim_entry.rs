use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ClaimAnswer,
    ClaimAttempt,
    ClaimOutcome,
    StateTime, //
};

/// Released attempts remembered under one key.
const MAX_KEPT_RELEASES: usize = 8;

/// All that is remembered of one key within the window.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ClaimEntry {
    pub(crate) body: [u8; 16],
    /// Invariant: only this attempt may finish or release the claim.
    pub(crate) attempt: ClaimAttempt,
    pub(crate) claimed_at: StateTime,
    pub(crate) issued_ms: Option<u64>,
    pub(crate) phase: ClaimPhase,
    /// Attempts that were given up. A claim step of theirs that is still on the way must not take
    /// the key: nobody would ever finish it.
    pub(crate) released: Vec<ClaimAttempt>,
}

/// How far a claimed request is known to have come.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum ClaimPhase {
    /// The attempt may be running.
    Running,
    /// The attempt may have run and is over.
    Unknown,
    /// It ran.
    Ran { status: u16 },
    /// It ran, with this answer.
    Answered(ClaimAnswer),
    /// It did not run; the key is free for the same body.
    Released,
}

impl ClaimEntry {
    /// Whether the key must be remembered past the window.
    pub(crate) fn may_have_run(&self) -> bool {
        self.phase != ClaimPhase::Released
    }

    /// The answer to another claim of the key; `stale` tells that its attempt is lost or too old.
    pub(crate) fn claim_outcome(&self, stale: bool) -> ClaimOutcome {
        match &self.phase {
            ClaimPhase::Running if stale => ClaimOutcome::Unknown,
            ClaimPhase::Running => ClaimOutcome::InProgress,
            ClaimPhase::Unknown => ClaimOutcome::Unknown,
            ClaimPhase::Ran { status } => ClaimOutcome::Ran { status: *status },
            ClaimPhase::Answered(answer) => ClaimOutcome::Recorded(answer.clone()),
            ClaimPhase::Released => ClaimOutcome::Granted,
        }
    }

    /// Notes that `attempt` gave up.
    pub(crate) fn record_release(&mut self, attempt: ClaimAttempt) {
        if self.released.contains(&attempt) {
            return;
        }
        if self.released.len() == MAX_KEPT_RELEASES {
            self.released.remove(0);
        }
        self.released.push(attempt);
    }
}
