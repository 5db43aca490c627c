//! Places attempts on endpoints, grants them their slots, and ends them.

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
        pending_attempt::PendingAttempt,
        ticket_table::{
            HeldSlot,
            TicketRecord, //
        },
        wait_table::SlotWait, //
    }, //
};

/// Maximum number of homes that one attempt asks before it is refused.
const MAX_HOMES_ASKED: u32 = 6;

/// How long to wait for a home's answer.
const SLOT_TIMEOUT: Duration = Duration::from_millis(400);

/// Retry delay sent to a client when every suitable endpoint is full.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Maximum number of route choices for one placement; bounds the work of the control thread.
const MAX_ROUTE_CHOICES: usize = 8;

impl ControlState {
    /// Finds an endpoint for an attempt, asks its home for a slot, holds the attempt, or refuses
    /// it.
    pub(crate) fn place_attempt(&mut self, mut attempt: PendingAttempt, now: ClockTime) {
        if let Some(rest) = self.rest_left(attempt.offer, now) {
            let message = "every endpoint that could take the request wants a rest";
            let refusal = AdmitRefusal::not_run(RefusalCode::NoEndpoint, message);
            return self.refuse_attempt(attempt, refusal.with_retry_after(rest));
        }
        let resting = self.resting_endpoints(now);
        for _ in 0..MAX_ROUTE_CHOICES {
            let excluded = [&attempt.excluded[..], &resting[..]].concat();
            let query = RouteQuery {
                offer: attempt.offer,
                customer: attempt.customer_key,
                chat: attempt.chat,
                prefixes: &attempt.prefixes,
                hint: attempt.hint,
                excluded: &excluded,
                salt: attempt.call.request.0,
                refusals: attempt.homes_full,
                waited: now.since(attempt.started),
            };
            match self.route.choose(&query, now) {
                RouteDecision::Admit { endpoint, slot, .. } => {
                    if self.membership.home_state(endpoint, now).admits_at(now) {
                        let held = HeldSlot::Local(slot);
                        return self.grant_attempt(attempt, endpoint, held, now);
                    }
                    // This node's right to admit ended between two ticks. Another node may hold it
                    // by now, and both together could exceed the engine's bound.
                    self.route
                        .release(endpoint, slot, SlotOutcome::Neutral, now);
                    attempt.excluded.push(endpoint);
                }
                RouteDecision::AskHome {
                    endpoint,
                    home,
                    class: admission_class,
                    ..
                } => {
                    if attempt.homes_asked < MAX_HOMES_ASKED {
                        return self.ask_home(attempt, (endpoint, admission_class), home, now);
                    }
                    let message = "every engine asked is at its bound";
                    let refusal = AdmitRefusal::not_run(RefusalCode::Overloaded, message);
                    return self
                        .refuse_attempt(attempt, refusal.with_retry_after(FULL_RETRY_AFTER));
                }
                RouteDecision::Hold { retry_after } => {
                    self.waits.hold(attempt, now.after(retry_after));
                    return;
                }
                RouteDecision::Refuse { code, retry_after } => {
                    let refusal = AdmitRefusal::not_run(code, refusal_text(code));
                    return self.refuse_attempt(attempt, refusal.with_retry_after(retry_after));
                }
            }
        }
        let message = "no endpoint could be reached through its home";
        let refusal = AdmitRefusal::not_run(RefusalCode::NoEndpoint, message);
        self.refuse_attempt(attempt, refusal.with_retry_after(FULL_RETRY_AFTER));
    }

    /// Asks the home node of an endpoint for a slot.
    fn ask_home(
        &mut self,
        mut attempt: PendingAttempt,
        (endpoint, class): (EndpointId, AdmissionClass),
        home: NodeId,
        now: ClockTime,
    ) {
        let question = self.next_random();
        attempt.homes_asked += 1;
        self.send_ask(home, question, endpoint, class, &attempt);
        let wait = SlotWait {
            attempt,
            endpoint,
            home,
            asked_at: now,
        };
        self.waits.add(question, wait);
    }

    fn endpoint_build(&self, endpoint: EndpointId) -> Option<String> {
        self.membership.endpoint(endpoint)?.build.clone()
    }

    /// Sends an attempt to its endpoint, with the slot it was granted.
    pub(crate) fn grant_attempt(
        &mut self,
        attempt: PendingAttempt,
        endpoint: EndpointId,
        slot: HeldSlot,
        now: ClockTime,
    ) {
        let Some(address) = self.endpoint_address(endpoint) else {
            self.release_slot(endpoint, slot, SlotOutcome::Neutral, now);
            let message = "the endpoint left a moment ago";
            let refusal = AdmitRefusal::not_run(RefusalCode::NoEndpoint, message);
            return self.refuse_attempt(attempt, refusal.with_retry_after(FULL_RETRY_AFTER));
        };
        let attempts = attempt.call.excluded.len() as u32 + 1;
        let ticket = self.tickets.open(TicketRecord {
            request: attempt.call.request,
            customer: attempt.customer_key,
            customer_name: attempt.customer.clone(),
            chat: attempt.chat,
            endpoint,
            slot,
            digest: attempt.digest,
            tokens: attempt.tokens,
            attempts,
            claim: attempt.claim.clone(),
        });
        self.record_dispatch(&attempt, endpoint);
        self.route.record_placement(attempt.customer_key);
        let grant = AdmitGrant {
            ticket,
            endpoint,
            address,
            hint: self.hints.encode(attempt.customer_key, endpoint),
            next_node: self.home_address(endpoint),
            priority: attempt.priority,
            version: attempt.version,
            build: self.endpoint_build(endpoint),
            customer: attempt.customer,
            record_response: attempt.claim.is_some(),
        };
        if attempt.reply.try_send(AdmitReply::Granted(grant)).is_err() {
            // The client disconnected while the attempt was being placed; nothing was sent.
            let outcome = AttemptOutcome::NotSent;
            let duration = Duration::ZERO;
            self.finish(
                FinishCall {
                    ticket,
                    outcome,
                    duration,
                    rest: None,
                },
                now,
            );
        }
    }

    /// Ends an attempt: releases its slot, corrects its limit charge, and finishes or releases its
    /// claim.
    pub(crate) fn finish(&mut self, call: FinishCall, now: ClockTime) {
        let Some(record) = self.tickets.close(call.ticket) else {
            tracing::warn!(ticket = call.ticket.0, "attempt ended more than once");
            return;
        };
        self.record_finish(&record, &call);
        self.observe_end(&record, &call.outcome, now);
        if let Some(rest) = call.rest {
            self.note_rest(record.endpoint, rest, now);
        }
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
            self.claims.push_step(step);
        }
    }

    /// Releases a slot at the node that granted it.
    pub(crate) fn release_slot(
        &mut self,
        endpoint: EndpointId,
        slot: HeldSlot,
        outcome: SlotOutcome,
        now: ClockTime,
    ) {
        match slot {
            HeldSlot::Local(slot) => self.route.release(endpoint, slot, outcome, now),
            HeldSlot::Remote { home, question } => {
                self.route.observe_outcome(endpoint, outcome, now);
                self.send_release(home, question, endpoint, outcome, now);
            }
        }
    }

    /// Places attempts whose hold has ended.
    pub(crate) fn place_due_attempts(&mut self, now: ClockTime) {
        for attempt in self.waits.take_due(now) {
            let checked = self
                .check_admits(now)
                .and_then(|()| self.check_quarantine(attempt.digest, now));
            match checked {
                // The node may have lost its right to admit while the attempt was held, or the
                // request may have crashed another endpoint.
                Ok(()) => self.place_attempt(attempt, now),
                Err(refusal) => self.refuse_attempt(attempt, refusal),
            }
        }
    }

    /// Ends waits for a home's answer that took too long, and places their attempts elsewhere.
    pub(crate) fn tick_waits(&mut self, now: ClockTime) {
        let membership = &self.membership;
        let is_gone = |home: NodeId| {
            let record = membership.node(home);
            record.is_none_or(|record| !record.state.is_present())
        };
        let limit = now.before(SLOT_TIMEOUT);
        for (question, wait) in self.waits.take_overdue(limit, is_gone) {
            let SlotWait {
                mut attempt,
                endpoint,
                home,
                ..
            } = wait;
            self.route.mark_unresponsive(home);
            // The slot may have been granted by an answer that was lost.
            self.send_release(home, question, endpoint, SlotOutcome::Neutral, now);
            attempt.excluded.push(endpoint);
            self.place_attempt(attempt, now);
        }
        self.tick_claims(now);
    }
}

/// Returns what the end of an attempt tells about its endpoint.
fn slot_outcome(outcome: &AttemptOutcome) -> SlotOutcome {
    match outcome {
        AttemptOutcome::Completed { status, .. } if *status < 500 => SlotOutcome::Succeeded,
        AttemptOutcome::Completed { .. }
        | AttemptOutcome::Broken
        | AttemptOutcome::Crashed
        | AttemptOutcome::NotSent => SlotOutcome::Failed,
        AttemptOutcome::Cancelled | AttemptOutcome::TimedOut => SlotOutcome::Neutral,
    }
}

/// Returns what is known about the request after an attempt has ended.
fn request_outcome(outcome: &AttemptOutcome) -> RequestOutcome {
    match outcome {
        AttemptOutcome::NotSent => RequestOutcome::NotRun,
        AttemptOutcome::Completed { .. } => RequestOutcome::Ran,
        AttemptOutcome::Broken
        | AttemptOutcome::Crashed
        | AttemptOutcome::Cancelled
        | AttemptOutcome::TimedOut => RequestOutcome::Unknown,
    }
}

/// Returns the result to record under an attempt's key; `None` if no byte was sent.
fn claim_result(outcome: AttemptOutcome) -> Option<ClaimResult> {
    match outcome {
        AttemptOutcome::NotSent => None,
        AttemptOutcome::Completed {
            response: Some(response),
            ..
        } => Some(ClaimResult::Answered(ClaimAnswer {
            status: response.status,
            content_type: response.content_type,
            body: response.body,
        })),
        AttemptOutcome::Completed { status, .. } => Some(ClaimResult::Ran { status }),
        AttemptOutcome::Broken
        | AttemptOutcome::Crashed
        | AttemptOutcome::Cancelled
        | AttemptOutcome::TimedOut => Some(ClaimResult::Unknown),
    }
}

/// Returns the message for a refusal by the route table.
fn refusal_text(code: RefusalCode) -> &'static str {
    match code {
        RefusalCode::NoEndpoint => "no endpoint that could take the request is present",
        _ => "every endpoint that could take the request is at its bound",
    }
}
