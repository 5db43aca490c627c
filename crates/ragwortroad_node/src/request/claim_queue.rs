use std::{
    collections::BTreeMap,
    time::Duration, //
};

use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

use crate::request::pending_attempt::PendingAttempt;

/// Steps on claims that the leader has not answered yet.
///
/// A step is repeated until it is answered: a claim until its request's patience ends, all others
/// for ever. A lost finish would leave the key "in progress", so that a caller who asks again for
/// its booking would be told to wait for an attempt that is over.
#[derive(Debug, Default)]
pub(crate) struct ClaimQueue {
    next_step: u64,
    next_batch: u64,
    steps: BTreeMap<u64, PendingStep>,
    /// Steps of each batch under way, in the order of its message.
    batches: BTreeMap<u64, SentBatch>,
}

#[derive(Debug)]
struct PendingStep {
    step: ClaimStep,
    /// The attempt that waits for a claim.
    attempt: Option<PendingAttempt>,
    /// When it was sent last; nothing before the first time.
    sent: Option<ClockTime>,
}

#[derive(Debug)]
struct SentBatch {
    steps: Vec<u64>,
    sent: ClockTime,
}

/// Time after which an unanswered step is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a batch's answer is no longer waited for.
const BATCH_TTL: Duration = Duration::from_secs(20);

/// Steps in one message.
const MAX_BATCH_STEPS: usize = 256;

impl ClaimQueue {
    /// Adds a claim for an attempt that waits for it.
    pub(crate) fn claim(&mut self, step: ClaimStep, attempt: PendingAttempt) {
        self.add(step, Some(attempt));
    }

    /// Adds a finish or a release.
    pub(crate) fn settle(&mut self, step: ClaimStep) {
        self.add(step, None);
    }

    fn add(&mut self, step: ClaimStep, attempt: Option<PendingAttempt>) {
        self.next_step += 1;
        let open = PendingStep {
            step,
            attempt,
            sent: None,
        };
        self.steps.insert(self.next_step, open);
    }

    /// Whether a request waits for a claim that was not sent yet.
    ///
    /// Finishes and releases keep nobody waiting; sent together with the next claim or tick they
    /// cost a fraction of the messages and log entries.
    pub(crate) fn is_urgent(&self) -> bool {
        let mut steps = self.steps.values();
        steps.any(|open| open.attempt.is_some() && open.sent.is_none())
    }

    /// The next batch to send, of steps that are new or have waited long enough.
    pub(crate) fn next_batch(&mut self, now: ClockTime) -> Option<(u64, Vec<ClaimStep>)> {
        let is_due = |open: &PendingStep| {
            open.sent
                .is_none_or(|sent| now.since(sent) >= RESEND_INTERVAL)
        };
        let due = self.steps.iter_mut().filter(|(_, open)| is_due(open));
        let mut numbers = Vec::new();
        let mut steps = Vec::new();
        for (number, open) in due.take(MAX_BATCH_STEPS) {
            open.sent = Some(now);
            numbers.push(*number);
            steps.push(open.step.clone());
        }
        if steps.is_empty() {
            return None;
        }
        self.batches
            .retain(|_, batch| now.since(batch.sent) < BATCH_TTL);
        self.next_batch += 1;
        let batch = SentBatch {
            steps: numbers,
            sent: now,
        };
        self.batches.insert(self.next_batch, batch);
        Some((self.next_batch, steps))
    }

    /// Takes in the answer to a batch; attempts whose claim was decided come back.
    pub(crate) fn take_decided(
        &mut self,
        batch: u64,
        outcomes: Vec<ClaimOutcome>,
    ) -> Vec<(PendingAttempt, ClaimOutcome)> {
        let Some(sent) = self.batches.remove(&batch) else {
            return Vec::new();
        };
        let mut decided = Vec::new();
        for (number, outcome) in sent.steps.into_iter().zip(outcomes) {
            let attempt = self.steps.remove(&number).and_then(|open| open.attempt);
            decided.extend(attempt.map(|attempt| (attempt, outcome)));
        }
        decided
    }

    /// Gives up claims whose attempts have waited since before `limit`.
    ///
    /// The caller must settle each with a release, which the state keeps apart from the claim even
    /// if it arrives first.
    pub(crate) fn take_expired(&mut self, limit: ClockTime) -> Vec<PendingAttempt> {
        let waited = |open: &PendingStep| {
            open.attempt
                .as_ref()
                .is_some_and(|attempt| attempt.since < limit)
        };
        let numbers: Vec<u64> = self
            .steps
            .iter()
            .filter(|(_, open)| waited(open))
            .map(|(number, _)| *number)
            .collect();
        let take = |number: u64| self.steps.remove(&number)?.attempt;
        numbers.into_iter().filter_map(take).collect()
    }

    /// Makes every unanswered step due, when another leader is known.
    pub(crate) fn mark_all_due(&mut self) {
        for open in self.steps.values_mut() {
            open.sent = None;
        }
    }

    /// Steps not answered yet.
    pub(crate) fn len(&self) -> usize {
        self.steps.len()
    }
}
