//! From a place to a grant, and from a grant to its end.

use std::time::Duration;

use ragwortroad_gateway::prelude::*;
use ragwortroad_routing::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    control::{
        admit_flow::AdmitRefusal,
        control_state::ControlState, //
    },
    request::{
        ended_attempts::EndedAttempt,
        request_plan::RequestPlan,
        ticket_table::{
            HeldSlot,
            TicketRecord, //
        },
        wait_table::SlotWait, //
    }, //
};

/// Homes that one attempt asks before it is refused.
const MOST_ASKED: u32 = 6;

/// Time after which a home's answer is no longer waited for.
const SLOT_PATIENCE: Duration = Duration::from_millis(400);

/// Time a caller waits before it asks again for something that was full.
const FULL_PAUSE: Duration = Duration::from_millis(500);

/// Places that one decision goes through before it gives up; bounds the control thread's work.
const MOST_PLACES: usize = 8;

impl ControlState {
    /// Finds a place for an attempt, or refuses it.
    pub(crate) fn place_plan(&mut self, mut plan: RequestPlan, now: ClockTime) {
        for _ in 0..MOST_PLACES {
            let query = RouteQuery {
                offer: plan.offer,
                customer: plan.customer_key,
                chat: plan.chat,
                prefixes: &plan.prefixes,
                hint: plan.hint,
                excluded: &plan.excluded,
                salt: plan.call.request.0,
                refusals: plan.full,
                waited: now.since(plan.since),
            };
            match self.route.choose(&query, now) {
                RouteDecision::Admit { endpoint, slot, .. } => {
                    if self.membership.home_state(endpoint, now).admits_at(now) {
                        let held = HeldSlot::Own(slot);
                        return self.grant_plan(plan, endpoint, held, now);
                    }
                    // The right to admit lapsed between two ticks. Another node may have it by
                    // now, and both together could pass the engine's bound.
                    self.route
                        .release(endpoint, slot, SlotOutcome::Neutral, now);
                    plan.excluded.push(endpoint);
                }
                RouteDecision::AskHome {
                    endpoint,
                    home,
                    class: claim,
                    ..
                } => {
                    if plan.asked < MOST_ASKED {
                        return self.ask_home(plan, (endpoint, claim), home, now);
                    }
                    let message = "every engine asked is at its bound";
                    let refusal = AdmitRefusal::not_run(RefusalCode::Overloaded, message);
                    return self.refuse_plan(plan, refusal.after(FULL_PAUSE));
                }
                RouteDecision::Hold { retry_after } => {
                    self.waits.hold(plan, now.after(retry_after));
                    return;
                }
                RouteDecision::Refuse { code, retry_after } => {
                    let refusal = AdmitRefusal::not_run(code, refusal_text(code));
                    return self.refuse_plan(plan, refusal.after(retry_after));
                }
            }
        }
        let message = "no endpoint could be reached through its home";
        let refusal = AdmitRefusal::not_run(RefusalCode::NoEndpoint, message);
        self.refuse_plan(plan, refusal.after(FULL_PAUSE));
    }

    /// Asks the home node of an endpoint for a slot.
    fn ask_home(
        &mut self,
        mut plan: RequestPlan,
        (endpoint, claim): (EndpointId, AdmissionClass),
        home: NodeId,
        now: ClockTime,
    ) {
        let question = self.draw();
        plan.asked += 1;
        self.send_ask(home, question, endpoint, claim, &plan);
        let wait = SlotWait {
            plan,
            endpoint,
            home,
            asked: now,
        };
        self.waits.add(question, wait);
    }

    /// Grants an attempt its place.
    pub(crate) fn grant_plan(
        &mut self,
        plan: RequestPlan,
        endpoint: EndpointId,
        slot: HeldSlot,
        now: ClockTime,
    ) {
        let Some(address) = self.endpoint_address(endpoint) else {
            self.release_slot(endpoint, slot, SlotOutcome::Neutral, now);
            let message = "the endpoint left a moment ago";
            let refusal = AdmitRefusal::not_run(RefusalCode::NoEndpoint, message);
            return self.refuse_plan(plan, refusal.after(FULL_PAUSE));
        };
        let attempts = plan.call.excluded.len() as u32 + 1;
        let ticket = self.tickets.open(TicketRecord {
            request: plan.call.request,
            customer: plan.customer_key,
            customer_name: plan.customer.clone(),
            chat: plan.chat,
            endpoint,
            slot,
            tokens: plan.tokens,
            attempts,
            claim: plan.claim.clone(),
        });
        self.note_dispatch(&plan, endpoint);
        self.route.record_placement(plan.customer_key);
        let grant = AdmitGrant {
            ticket,
            endpoint,
            address,
            hint: self.hints.encode(plan.customer_key, endpoint),
            next_node: self.home_address(endpoint),
            priority: plan.priority,
            version: plan.version,
            customer: plan.customer,
            record_response: plan.claim.is_some(),
        };
        if plan.reply.try_send(AdmitReply::Granted(grant)).is_err() {
            // The caller left while its place was being found: nothing was sent.
            let outcome = AttemptOutcome::NotSent;
            let took = Duration::ZERO;
            self.finish(
                FinishCall {
                    ticket,
                    outcome,
                    duration: took,
                },
                now,
            );
        }
    }

    /// Ends an attempt.
    pub(crate) fn finish(&mut self, call: FinishCall, now: ClockTime) {
        let Some(record) = self.tickets.close(call.ticket) else {
            tracing::warn!(ticket = call.ticket.0, "an attempt ended twice");
            return;
        };
        self.note_finish(&record, &call);
        tracing::debug!(
            request = %record.request,
            customer = record.customer_name,
            chat = record.chat.map(|chat| chat.to_string()),
            endpoint = %record.endpoint,
            outcome = ?request_outcome(&call.outcome),
            took_ms = call.duration.as_millis() as u64,
            "attempt ended"
        );
        self.release_slot(
            record.endpoint,
            record.slot,
            slot_outcome(&call.outcome),
            now,
        );
        let used = match call.outcome {
            AttemptOutcome::NotSent => 0,
            _ => record.tokens,
        };
        self.limiter.finish(record.customer, record.tokens, used);
        let ended = EndedAttempt {
            outcome: request_outcome(&call.outcome),
            attempts: record.attempts,
        };
        if ended.outcome != RequestOutcome::Ran {
            self.ended.add(call.ticket, ended, now);
        }
        if let Some(claim) = record.claim {
            let step = match claim_result(call.outcome) {
                Some(result) => claim.finish_step(result),
                None => claim.release_step(),
            };
            self.claims.settle(step);
        }
    }

    /// Gives a slot back to whoever granted it.
    pub(crate) fn release_slot(
        &mut self,
        endpoint: EndpointId,
        slot: HeldSlot,
        outcome: SlotOutcome,
        now: ClockTime,
    ) {
        match slot {
            HeldSlot::Own(slot) => self.route.release(endpoint, slot, outcome, now),
            HeldSlot::Foreign { home, question } => {
                self.route.observe_outcome(endpoint, outcome, now);
                self.send_release(home, question, endpoint, outcome, now);
            }
        }
    }

    /// Looks for places again for attempts whose hold is over.
    pub(crate) fn place_held(&mut self, now: ClockTime) {
        for plan in self.waits.due(now) {
            match self.check_open(now) {
                // The node may have lost its leave to admit while the attempt was held.
                Ok(()) => self.place_plan(plan, now),
                Err(refusal) => self.refuse_plan(plan, refusal),
            }
        }
    }

    /// Ends waits whose answer does not come, and goes on to the next place.
    pub(crate) fn tick_waits(&mut self, now: ClockTime) {
        let membership = &self.membership;
        let is_gone = |home: NodeId| {
            let record = membership.node(home);
            record.is_none_or(|record| !record.state.is_present())
        };
        let limit = now.before(SLOT_PATIENCE);
        for (question, wait) in self.waits.overdue(limit, is_gone) {
            let SlotWait {
                mut plan,
                endpoint,
                home,
                ..
            } = wait;
            self.route.mark_unresponsive(home);
            // The slot may have been granted in an answer that was lost.
            self.send_release(home, question, endpoint, SlotOutcome::Neutral, now);
            plan.excluded.push(endpoint);
            self.place_plan(plan, now);
        }
        self.tick_claims(now);
    }
}

/// What an end says of the endpoint.
fn slot_outcome(outcome: &AttemptOutcome) -> SlotOutcome {
    match outcome {
        AttemptOutcome::Completed { status, .. } if *status < 500 => SlotOutcome::Succeeded,
        AttemptOutcome::Completed { .. } | AttemptOutcome::Broken | AttemptOutcome::NotSent => {
            SlotOutcome::Failed
        }
        AttemptOutcome::Cancelled | AttemptOutcome::TimedOut => SlotOutcome::Neutral,
    }
}

/// What is known of the request after an attempt's end.
fn request_outcome(outcome: &AttemptOutcome) -> RequestOutcome {
    match outcome {
        AttemptOutcome::NotSent => RequestOutcome::NotRun,
        AttemptOutcome::Completed { .. } => RequestOutcome::Ran,
        AttemptOutcome::Broken | AttemptOutcome::Cancelled | AttemptOutcome::TimedOut => {
            RequestOutcome::Unknown
        }
    }
}

/// What is recorded under the key of an attempt; nothing where no byte was sent.
fn claim_result(outcome: AttemptOutcome) -> Option<ClaimResult> {
    match outcome {
        AttemptOutcome::NotSent => None,
        AttemptOutcome::Completed {
            response: Some(answer),
            ..
        } => Some(ClaimResult::Answered(ClaimAnswer {
            status: answer.status,
            content_type: answer.content_type,
            body: answer.body,
        })),
        AttemptOutcome::Completed { status, .. } => Some(ClaimResult::Ran { status }),
        AttemptOutcome::Broken | AttemptOutcome::Cancelled | AttemptOutcome::TimedOut => {
            Some(ClaimResult::Unknown)
        }
    }
}

/// The text that goes with a refusal of the route table.
fn refusal_text(code: RefusalCode) -> &'static str {
    match code {
        RefusalCode::NoEndpoint => "no endpoint that could take the request is present",
        _ => "every endpoint that could take the request is at its bound",
    }
}
