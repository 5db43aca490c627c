use std::{
    collections::BTreeMap,
    time::Duration, //
};

use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

use crate::request::pending_attempt::PendingAttempt;

/// Claim steps that the leader hasn't answered yet.
///
/// Each step is resent until it is answered: a claim until its request times out, all others
/// forever. A lost `Finish` would leave the key in progress, and a client that repeats its booking
/// would be told to wait for an attempt that has ended.
#[derive(Debug, Default)]
pub(crate) struct ClaimQueue {
    next_step: u64,
    next_batch: u64,
    steps: BTreeMap<u64, PendingStep>,
    /// The steps of each batch in flight, in the order of its message.
    batches: BTreeMap<u64, SentBatch>,
}

#[derive(Debug)]
struct PendingStep {
    step: ClaimStep,
    /// The attempt that waits for this claim; `None` for other steps.
    attempt: Option<PendingAttempt>,
    /// When the step was last sent; `None` before the first time.
    last_sent: Option<ClockTime>,
}

#[derive(Debug)]
struct SentBatch {
    steps: Vec<u64>,
    sent: ClockTime,
}

/// Time after which an unanswered step is resent.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// How long the answer to a batch is accepted.
const BATCH_TTL: Duration = Duration::from_secs(20);

/// Maximum number of steps in one message.
const MAX_BATCH_STEPS: usize = 256;

impl ClaimQueue {
    /// Adds a claim, with the attempt that waits for it.
    pub(crate) fn push_claim(&mut self, step: ClaimStep, attempt: PendingAttempt) {
        self.insert(step, Some(attempt));
    }

    /// Adds a step that no attempt waits for: a finish, a release or the loss of a node.
    pub(crate) fn push_step(&mut self, step: ClaimStep) {
        self.insert(step, None);
    }

    fn insert(&mut self, step: ClaimStep, attempt: Option<PendingAttempt>) {
        self.next_step += 1;
        let pending = PendingStep {
            step,
            attempt,
            last_sent: None,
        };
        self.steps.insert(self.next_step, pending);
    }

    /// Whether an attempt waits for a claim that hasn't been sent yet.
    ///
    /// No client waits for the other steps; sent with the next claim or tick, they cost a fraction
    /// of the messages and log entries.
    pub(crate) fn is_urgent(&self) -> bool {
        let mut steps = self.steps.values();
        steps.any(|pending| pending.attempt.is_some() && pending.last_sent.is_none())
    }

    /// Returns the next batch of steps that are new or due for resending.
    pub(crate) fn next_batch(&mut self, now: ClockTime) -> Option<(u64, Vec<ClaimStep>)> {
        let is_due = |pending: &PendingStep| {
            pending
                .last_sent
                .is_none_or(|sent| now.since(sent) >= RESEND_INTERVAL)
        };
        let due = self.steps.iter_mut().filter(|(_, pending)| is_due(pending));
        let mut numbers = Vec::new();
        let mut steps = Vec::new();
        for (number, pending) in due.take(MAX_BATCH_STEPS) {
            pending.last_sent = Some(now);
            numbers.push(*number);
            steps.push(pending.step.clone());
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

    /// Takes the outcomes of a batch and returns the attempts whose claims were decided.
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
            let attempt = self
                .steps
                .remove(&number)
                .and_then(|pending| pending.attempt);
            decided.extend(attempt.map(|attempt| (attempt, outcome)));
        }
        decided
    }

    /// Removes the claims of attempts that started before `limit`, and returns these attempts.
    ///
    /// The caller must push a release for each one. The state handles the release correctly even
    /// if it arrives before the claim.
    pub(crate) fn take_expired(&mut self, limit: ClockTime) -> Vec<PendingAttempt> {
        let is_expired = |pending: &PendingStep| {
            pending
                .attempt
                .as_ref()
                .is_some_and(|attempt| attempt.started < limit)
        };
        let numbers: Vec<u64> = self
            .steps
            .iter()
            .filter(|(_, pending)| is_expired(pending))
            .map(|(number, _)| *number)
            .collect();
        let remove_attempt = |number: u64| self.steps.remove(&number)?.attempt;
        numbers.into_iter().filter_map(remove_attempt).collect()
    }

    /// Makes all unanswered steps due; called when the leader changes.
    pub(crate) fn mark_all_due(&mut self) {
        for pending in self.steps.values_mut() {
            pending.last_sent = None;
        }
    }

    /// Returns the number of unanswered steps.
    pub(crate) fn len(&self) -> usize {
        self.steps.len()
    }
}
