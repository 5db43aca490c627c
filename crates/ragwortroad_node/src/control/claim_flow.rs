//! Claims on idempotency keys, for requests that must not run twice. Nodes send claim steps to the
//! leader, which commits them through the replicated log.

use std::time::Duration;

use ragwortroad_gateway::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_timeline::prelude::*;
use ragwortroad_transport::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    control::{
        admit_flow::AdmitRefusal,
        control_state::{
            ControlState,
            send_reply, //
        }, //
    },
    member::proposal_kind::{
        ClaimBatch,
        ProposalKind, //
    },
    request::pending_attempt::PendingAttempt,
    wire::{
        follow_message::FollowMessage,
        message_codec::encode, //
    }, //
};

/// How long an attempt waits for its claim before it is refused as not run.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(4);

/// Retry delay sent to a client whose idempotency key may still be granted or completed.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(1);

impl ControlState {
    /// Sends new and unanswered claim steps to the leader.
    pub(crate) fn send_claims(&mut self, now: ClockTime) {
        let Some(leader) = self.leader() else {
            return;
        };
        while let Some((batch, steps)) = self.claims.next_batch(now) {
            if leader == self.node {
                self.handle_claims(self.node, batch, steps, now);
            } else {
                let message = FollowMessage::Claims { batch, steps };
                self.send(leader, PeerChannel::Follow, encode(&message));
            }
        }
    }

    /// Queues another node's claim steps for the log if this node leads; otherwise names the
    /// leader.
    pub(crate) fn handle_claims(
        &mut self,
        node: NodeId,
        batch: u64,
        steps: Vec<ClaimStep>,
        now: ClockTime,
    ) {
        let leads = self
            .replica
            .as_ref()
            .is_some_and(|replica| replica.leads(now));
        let context = self
            .replica
            .as_mut()
            .and_then(|replica| replica.leader_context.as_mut());
        let Some(context) = context.filter(|_| leads) else {
            let leader = self.leader().filter(|leader| *leader != self.node);
            if node != self.node {
                let message = FollowMessage::Elsewhere { leader };
                self.send(node, PeerChannel::Follow, encode(&message));
            }
            return;
        };
        let entry = ClaimBatch {
            node,
            batch,
            steps: steps.len(),
        };
        context.claims.push((entry, steps));
    }

    /// Whether a request waits for a claim among the steps that haven't been proposed yet.
    pub(crate) fn claims_are_urgent(&self) -> bool {
        let context = self
            .replica
            .as_ref()
            .and_then(|replica| replica.leader_context.as_ref());
        let queued = context.into_iter().flat_map(|context| &context.claims);
        let mut steps = queued.flat_map(|(_, steps)| steps);
        steps.any(|step| matches!(step, ClaimStep::Claim { .. }))
    }

    /// Proposes all queued claim steps as one command.
    pub(crate) fn propose_claims(&mut self, now: ClockTime) {
        let wall_ms = self.clock.wall_ms();
        let Some(replica) = &mut self.replica else {
            return;
        };
        let Some(context) = replica
            .leader_context
            .as_mut()
            .filter(|context| !context.claims.is_empty())
        else {
            return;
        };
        let queued = std::mem::take(&mut context.claims);
        let batches = queued.iter().map(|(batch, _)| *batch).collect();
        let steps = queued.into_iter().flat_map(|(_, steps)| steps).collect();
        let action = StateAction::Claims(steps);
        let kind = ProposalKind::Claims(batches);
        let actions = replica.propose(action, kind, wall_ms, now);
        self.run_core_actions(actions, now);
    }

    /// Sends the outcomes of a committed command to the nodes that sent its steps.
    pub(crate) fn answer_claims(
        &mut self,
        batches: Vec<ClaimBatch>,
        outcomes: Vec<ClaimOutcome>,
        now: ClockTime,
    ) {
        let mut outcomes = outcomes.into_iter();
        for batch in batches {
            let own: Vec<ClaimOutcome> = outcomes.by_ref().take(batch.steps).collect();
            if batch.node == self.node {
                self.handle_claim_outcomes(batch.batch, own, now);
                continue;
            }
            let message = FollowMessage::ClaimsDone {
                batch: batch.batch,
                outcomes: own,
            };
            self.send(batch.node, PeerChannel::Follow, encode(&message));
        }
    }

    /// Handles the leader's outcomes for one batch of claim steps.
    pub(crate) fn handle_claim_outcomes(
        &mut self,
        batch: u64,
        outcomes: Vec<ClaimOutcome>,
        now: ClockTime,
    ) {
        for (attempt, outcome) in self.claims.take_decided(batch, outcomes) {
            self.handle_claim_outcome(attempt, outcome, now);
        }
    }

    /// Continues or refuses an attempt according to the outcome of its claim.
    fn handle_claim_outcome(
        &mut self,
        attempt: PendingAttempt,
        outcome: ClaimOutcome,
        now: ClockTime,
    ) {
        match outcome {
            ClaimOutcome::Granted => {
                self.record_attempt_event(EventKind::ClaimMade, &attempt, String::new());
                match self.check_admits(now) {
                    // The node may have lost its right to admit while the claim was in flight.
                    Ok(()) => self.place_attempt(attempt, now),
                    Err(refusal) => self.refuse_attempt(attempt, refusal),
                }
            }
            ClaimOutcome::Recorded(answer) => {
                self.limiter.finish(attempt.customer_key, attempt.tokens, 0);
                let detail = "recorded answer returned".to_owned();
                self.record_attempt_event(EventKind::ClaimFinished, &attempt, detail);
                let response = RecordedResponse {
                    status: answer.status,
                    content_type: answer.content_type,
                    body: answer.body,
                };
                send_reply(&attempt.reply, AdmitReply::Recorded(response));
            }
            other => {
                let (outcome, code) = other
                    .refusal()
                    .unwrap_or((RequestOutcome::Unknown, RefusalCode::InternalFault));
                self.limiter.finish(attempt.customer_key, attempt.tokens, 0);
                // A retry helps only while the key's outcome can still change; if a refusal for a
                // key with a final outcome had a retry delay, the client would retry forever.
                let may_change = matches!(
                    code,
                    RefusalCode::KeyInProgress | RefusalCode::ClaimUnavailable
                );
                let refusal = AdmitRefusal {
                    outcome,
                    code,
                    message: claim_text(&other),
                    retry_after: may_change.then_some(CLAIM_RETRY_AFTER),
                };
                let detail = format!("{code:?}: {}", refusal.message);
                self.record_attempt_event(EventKind::RequestRefused, &attempt, detail);
                let wire = self.refusal_wire(attempt.call.request, refusal);
                send_reply(&attempt.reply, AdmitReply::Refused(wire));
            }
        }
    }

    /// Refuses attempts whose claim was not answered in time; nothing of them was sent.
    pub(crate) fn tick_claims(&mut self, now: ClockTime) {
        for attempt in self.claims.take_expired(now.before(CLAIM_TIMEOUT)) {
            let message = "the claim could not be made durable in time";
            let refusal = AdmitRefusal::not_run(RefusalCode::ClaimUnavailable, message);
            self.refuse_attempt(attempt, refusal.with_retry_after(CLAIM_RETRY_AFTER));
        }
    }
}

/// Returns the refusal message for a claim that was not granted.
fn claim_text(outcome: &ClaimOutcome) -> String {
    match outcome {
        ClaimOutcome::InProgress => "a request with this key is running".to_owned(),
        ClaimOutcome::Unknown => "an earlier request with this key may have run".to_owned(),
        ClaimOutcome::Ran { status } => {
            format!("it ran with status {status}; its answer was too large to be kept")
        }
        ClaimOutcome::BodyDiffers => "the key came before with another request".to_owned(),
        ClaimOutcome::Expired => "the key is older than the window".to_owned(),
        ClaimOutcome::Ahead => "the key's date lies in the future".to_owned(),
        ClaimOutcome::Full => "the customer has too many keys remembered".to_owned(),
        _ => "the claim was not granted".to_owned(),
    }
}
