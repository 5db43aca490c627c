//! Claims of requests that must not run twice: asked of the leader, granted by the log.

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
            reply_to, //
        }, //
    },
    member::proposal_kind::{
        ClaimBatch,
        ProposalKind, //
    },
    request::request_plan::RequestPlan,
    wire::{
        follow_message::FollowMessage,
        message_codec::encode, //
    }, //
};

/// How long a request waits for its claim before it is refused as not run.
const CLAIM_PATIENCE: Duration = Duration::from_secs(4);

/// Time a caller waits before it asks again with the same key.
const CLAIM_PAUSE: Duration = Duration::from_secs(1);

impl ControlState {
    /// Sends claim steps that are due to the leader.
    pub(crate) fn send_claims(&mut self, now: ClockTime) {
        let Some(leader) = self.leader() else {
            return;
        };
        while let Some((batch, steps)) = self.claims.next_batch(now) {
            if leader == self.node {
                self.take_claims(self.node, batch, steps, now);
            } else {
                let message = FollowMessage::Claims { batch, steps };
                self.send(leader, PeerChannel::Follow, encode(&message));
            }
        }
    }

    /// Takes in a node's claim steps, as the leader.
    pub(crate) fn take_claims(
        &mut self,
        node: NodeId,
        batch: u64,
        steps: Vec<ClaimStep>,
        now: ClockTime,
    ) {
        let leads = self.member.as_ref().is_some_and(|seat| seat.leads(now));
        let desk = self.member.as_mut().and_then(|seat| seat.desk.as_mut());
        let Some(desk) = desk.filter(|_| leads) else {
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
        desk.claims.push((entry, steps));
    }

    /// Whether a request waits for a claim among the steps that were not proposed yet.
    pub(crate) fn claims_are_urgent(&self) -> bool {
        let desk = self.member.as_ref().and_then(|seat| seat.desk.as_ref());
        let gathered = desk.into_iter().flat_map(|desk| &desk.claims);
        let mut steps = gathered.flat_map(|(_, steps)| steps);
        steps.any(|step| matches!(step, ClaimStep::Claim { .. }))
    }

    /// Proposes all claim steps of this round as one command.
    pub(crate) fn propose_claims(&mut self, now: ClockTime) {
        let wall_ms = self.clock.wall_ms();
        let Some(seat) = &mut self.member else {
            return;
        };
        let Some(desk) = seat.desk.as_mut().filter(|desk| !desk.claims.is_empty()) else {
            return;
        };
        let gathered = std::mem::take(&mut desk.claims);
        let batches = gathered.iter().map(|(batch, _)| *batch).collect();
        let steps = gathered.into_iter().flat_map(|(_, steps)| steps).collect();
        let action = StateAction::Claims(steps);
        let kind = ProposalKind::Claims(batches);
        let actions = seat.propose(action, kind, wall_ms, now);
        self.do_core(actions, now);
    }

    /// Hands the outcomes of a committed command to the nodes whose steps it held.
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
                self.claims_done(batch.batch, own, now);
                continue;
            }
            let message = FollowMessage::ClaimsDone {
                batch: batch.batch,
                outcomes: own,
            };
            self.send(batch.node, PeerChannel::Follow, encode(&message));
        }
    }

    /// The leader answered a batch of this node.
    pub(crate) fn claims_done(&mut self, batch: u64, outcomes: Vec<ClaimOutcome>, now: ClockTime) {
        for (plan, outcome) in self.claims.answered(batch, outcomes) {
            self.decide_claim(plan, outcome, now);
        }
    }

    /// Goes on with an attempt whose claim was decided.
    fn decide_claim(&mut self, plan: RequestPlan, outcome: ClaimOutcome, now: ClockTime) {
        match outcome {
            ClaimOutcome::Granted => {
                self.note_plan(EventKind::ClaimMade, &plan, String::new());
                match self.check_open(now) {
                    // The node may have lost its leave to admit while the claim was under way.
                    Ok(()) => self.place_plan(plan, now),
                    Err(refusal) => self.refuse_plan(plan, refusal),
                }
            }
            ClaimOutcome::Recorded(answer) => {
                self.limiter.finish(plan.customer_key, plan.tokens, 0);
                let detail = "recorded answer returned".to_owned();
                self.note_plan(EventKind::ClaimFinished, &plan, detail);
                let answer = RecordedResponse {
                    status: answer.status,
                    content_type: answer.content_type,
                    body: answer.body,
                };
                reply_to(&plan.reply, AdmitReply::Recorded(answer));
            }
            other => {
                let (outcome, code) = other
                    .refusal()
                    .unwrap_or((RequestOutcome::Unknown, RefusalCode::InternalFault));
                self.limiter.finish(plan.customer_key, plan.tokens, 0);
                // Waiting helps only where the key's outcome can still change; a caller told to wait
                // with a key that is spent would come back for ever.
                let may_change = matches!(
                    code,
                    RefusalCode::KeyInProgress | RefusalCode::ClaimUnavailable
                );
                let refusal = AdmitRefusal {
                    outcome,
                    code,
                    message: claim_text(&other),
                    retry_after: may_change.then_some(CLAIM_PAUSE),
                };
                let detail = format!("{code:?}: {}", refusal.message);
                self.note_plan(EventKind::RequestRefused, &plan, detail);
                let wire = self.refusal_wire(plan.call.request, refusal);
                reply_to(&plan.reply, AdmitReply::Refused(wire));
            }
        }
    }

    /// Refuses requests whose claim is not answered in time; nothing of them was sent.
    pub(crate) fn tick_claims(&mut self, now: ClockTime) {
        for plan in self.claims.give_up(now.before(CLAIM_PATIENCE)) {
            let message = "the claim could not be made durable in time";
            let refusal = AdmitRefusal::not_run(RefusalCode::ClaimUnavailable, message);
            self.refuse_plan(plan, refusal.after(CLAIM_PAUSE));
        }
    }
}

/// What a caller is told whose claim was not granted.
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
