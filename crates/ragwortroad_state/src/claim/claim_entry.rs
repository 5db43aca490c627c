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

/// Released attempts remembered per key.
const MAX_KEPT_RELEASES: usize = 8;

/// The full record of a key within the window.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ClaimEntry {
    pub(crate) body: [u8; 16],
    /// Invariant: only this attempt may finish or release the claim.
    pub(crate) attempt: ClaimAttempt,
    pub(crate) claimed_at: StateTime,
    pub(crate) issued_ms: Option<u64>,
    pub(crate) phase: ClaimPhase,
    /// Attempts that were released. A delayed claim step of such an attempt must not take the key,
    /// because nobody would ever finish it.
    pub(crate) released: Vec<ClaimAttempt>,
}

/// The known progress of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum ClaimPhase {
    /// The attempt may be running.
    Running,
    /// The attempt is over and may have run.
    Unknown,
    /// The attempt ran; the response was not kept.
    Ran { status: u16 },
    /// The attempt ran and got this response.
    Answered(ClaimAnswer),
    /// The attempt did not run; the key is free for the same body.
    Released,
}

impl ClaimEntry {
    /// Whether the key must be remembered past the window.
    pub(crate) fn may_have_run(&self) -> bool {
        self.phase != ClaimPhase::Released
    }

    /// Returns the outcome of another claim of the key; `stale` tells that the holding attempt's
    /// node was lost or that the attempt exceeded the run bound.
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

    /// Records that `attempt` was released.
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
