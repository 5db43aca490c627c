//! Letting a request in: who asks, for what, and whether within its limits.

use std::time::Duration;

use flume::Sender;
use ragwortroad_gateway::prelude::*;
use ragwortroad_routing::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_timeline::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    control::control_state::{
        ControlState,
        reply_to, //
    },
    request::request_plan::{
        HeldClaim,
        RequestPlan, //
    }, //
};

/// Tokens that a request without a limit of its own is taken to generate.
const USUAL_TOKENS: u32 = 256;

/// Bytes of prompt text that make about one token.
const TOKEN_BYTES: usize = 4;

/// How long a caller waits before it asks a node again that could not confirm its configuration.
const CURRENT_PAUSE: Duration = Duration::from_millis(500);

/// A refusal before it has the request's identity.
pub(crate) struct AdmitRefusal {
    pub(crate) outcome: RequestOutcome,
    pub(crate) code: RefusalCode,
    pub(crate) message: String,
    pub(crate) retry_after: Option<Duration>,
}

impl AdmitRefusal {
    /// A refusal of a request of which nothing was sent.
    pub(crate) fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            outcome: RequestOutcome::NotRun,
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// The same with a time to wait.
    pub(crate) fn after(self, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..self
        }
    }
}

/// What the configuration says of a request.
struct TargetFacts {
    customer: String,
    offer: OfferKey,
    version: Option<String>,
    idempotent: bool,
    service: Option<String>,
}

impl ControlState {
    /// Serves an admission call.
    pub(crate) fn admit(&mut self, call: AdmitCall, reply: Sender<AdmitReply>, now: ClockTime) {
        let request = call.request;
        match self.plan(call, &reply, now) {
            Ok(plan) => self.start_plan(plan, now),
            Err(refusal) => {
                self.events.note(FleetEvent {
                    request: Some(request),
                    detail: format!("{:?}: {}", refusal.code, refusal.message),
                    ..FleetEvent::new(EventKind::RequestRefused)
                });
                let wire = self.refusal_wire(request, refusal);
                reply_to(&reply, AdmitReply::Refused(wire));
            }
        }
    }

    /// Whether this node takes work in at all.
    pub(crate) fn check_open(&self, now: ClockTime) -> Result<(), AdmitRefusal> {
        if self.draining {
            let message = "this node is shutting down";
            return Err(AdmitRefusal::not_run(RefusalCode::NodeDraining, message));
        }
        if let Err(reason) = self.follow.guard.may_admit(now) {
            let refusal = AdmitRefusal::not_run(RefusalCode::NotCurrent, reason.to_string());
            return Err(refusal.after(CURRENT_PAUSE));
        }
        if self.follow.config.drains_node(&self.settings.node.name) {
            let message = "an operator drains this node";
            return Err(AdmitRefusal::not_run(RefusalCode::NodeDraining, message));
        }
        Ok(())
    }

    /// Checks a call and charges the customer's limit for it.
    fn plan(
        &mut self,
        call: AdmitCall,
        reply: &Sender<AdmitReply>,
        now: ClockTime,
    ) -> Result<RequestPlan, AdmitRefusal> {
        self.check_open(now)?;
        let chat = self.chat_key(&call);
        let facts = self.target_facts(&call, chat)?;
        self.check_retry(&call, facts.idempotent)?;
        let customer_key = CustomerKey::from_name(&facts.customer);
        let tokens = foreseen_tokens(&call);
        let priority = match self.limiter.admit(customer_key, tokens, now) {
            LimitAnswer::Admitted { priority } => priority,
            LimitAnswer::Refused { retry_after } => {
                let message = format!("customer {} is over its limit", facts.customer);
                let refusal = AdmitRefusal::not_run(RefusalCode::CustomerLimit, message);
                return Err(refusal.after(retry_after));
            }
        };
        let hint = call.hint.as_deref();
        let hint = hint.and_then(|hint| self.hints.decode(customer_key, hint));
        let prefixes = prompt_prefixes(&facts, &call);
        let claim = self.claim_of(&facts, &call);
        let plan = RequestPlan {
            customer_key,
            offer: facts.offer,
            version: facts.version,
            chat,
            prefixes,
            hint,
            tokens,
            priority,
            claim,
            excluded: call.excluded.clone(),
            asked: 0,
            full: 0,
            since: now,
            reply: reply.clone(),
            customer: facts.customer,
            call,
        };
        let kind = match plan.call.retry_of {
            None => EventKind::RequestAdmitted,
            Some(_) => EventKind::RequestRetried,
        };
        self.note_plan(kind, &plan, String::new());
        Ok(plan)
    }

    /// Claims the request's key first, where it must not run twice, and then looks for a place.
    fn start_plan(&mut self, plan: RequestPlan, now: ClockTime) {
        match &plan.claim {
            Some(claim) => {
                let step = claim.claim_step();
                self.claims.claim(step, plan);
            }
            None => self.place_plan(plan, now),
        }
    }

    fn chat_key(&self, call: &AdmitCall) -> Option<ChatKey> {
        let (customer, _) = self.follow.customer_of(call.key_hash)?;
        let chat = call.chat.as_deref()?;
        Some(ChatKey::from_parts(customer, chat))
    }

    /// Who asks and what for, by the configuration in force.
    fn target_facts(
        &mut self,
        call: &AdmitCall,
        chat: Option<ChatKey>,
    ) -> Result<TargetFacts, AdmitRefusal> {
        let Some((customer, entry)) = self.follow.customer_of(call.key_hash) else {
            let message = "no customer has this key";
            return Err(AdmitRefusal::not_run(RefusalCode::WrongKey, message));
        };
        let customer = customer.to_owned();
        match &call.target {
            RequestTarget::Model { model, adapter } => {
                if !entry.may_use(model, adapter.as_deref()) {
                    let message = format!("no model '{model}' serves customer {customer}");
                    return Err(AdmitRefusal::not_run(RefusalCode::UnknownModel, message));
                }
                let pinned = entry
                    .models
                    .get(model)
                    .and_then(|use_| use_.version.clone());
                let version = match pinned {
                    Some(version) => version,
                    None => self.version_for(model, chat, call.request)?,
                };
                Ok(TargetFacts {
                    customer,
                    offer: OfferKey::model(model, &version, adapter.as_deref()),
                    version: Some(version),
                    idempotent: true,
                    service: None,
                })
            }
            RequestTarget::Service { service } => {
                let declared = self.follow.config.services.get(service);
                let allowed = entry.services.contains(service);
                let Some(declared) = declared.filter(|_| allowed) else {
                    let message = format!("no service '{service}' serves customer {customer}");
                    return Err(AdmitRefusal::not_run(RefusalCode::UnknownService, message));
                };
                Ok(TargetFacts {
                    customer,
                    offer: OfferKey::service(service),
                    version: None,
                    idempotent: declared.is_idempotent(&call.method, &call.path),
                    service: Some(service.clone()),
                })
            }
        }
    }

    /// The version that a chat is served by: the one it has, while that is declared.
    fn version_for(
        &mut self,
        model: &str,
        chat: Option<ChatKey>,
        request: RequestId,
    ) -> Result<String, AdmitRefusal> {
        let unknown = || {
            let message = format!("model '{model}' has no version with a share");
            AdmitRefusal::not_run(RefusalCode::UnknownModel, message)
        };
        let plan = self.follow.version_plan(model).ok_or_else(unknown)?;
        let current = chat.and_then(|chat| self.follow.versions.get(chat, model));
        let version = plan.version_for(chat, current.as_deref(), request.0);
        let version = version.ok_or_else(unknown)?.to_owned();
        if let Some(chat) = chat {
            self.follow.versions.put(chat, model, &version);
        }
        Ok(version)
    }

    /// Whether a call that follows a failed attempt may be made at all.
    fn check_retry(&mut self, call: &AdmitCall, idempotent: bool) -> Result<(), AdmitRefusal> {
        let Some(ticket) = call.retry_of else {
            self.budget.record_first_attempt();
            return Ok(());
        };
        let ended = self.ended.take(ticket);
        let may_retry = ended.is_some_and(|ended| {
            let failed = FailedAttempt {
                outcome: ended.outcome,
                idempotent,
                attempts: ended.attempts,
                time_left: call.time_left,
            };
            self.rule.may_retry(failed, &mut self.budget)
        });
        if may_retry {
            return Ok(());
        }
        let (outcome, code) = match ended.map(|ended| ended.outcome) {
            Some(RequestOutcome::NotRun) => (RequestOutcome::NotRun, RefusalCode::NoEndpoint),
            _ => (RequestOutcome::Unknown, RefusalCode::BrokenAnswer),
        };
        Err(AdmitRefusal {
            outcome,
            code,
            message: "the attempt failed and is not repeated".to_owned(),
            retry_after: Some(CURRENT_PAUSE),
        })
    }

    /// The claim that a request needs before its first byte leaves.
    fn claim_of(&mut self, facts: &TargetFacts, call: &AdmitCall) -> Option<HeldClaim> {
        if facts.idempotent {
            return None;
        }
        let key = call.idempotency_key.as_deref()?;
        let service = facts.service.as_deref()?;
        let mut body = [0; 16];
        body.copy_from_slice(&call.body_hash[..16]);
        // A name of its own for each attempt: one that was released is never granted again, and a
        // retry after a refused connection must be.
        let attempt = ClaimAttempt {
            node: self.node,
            request: RequestId(self.draw()),
        };
        Some(HeldClaim {
            key: ClaimKey::new(&facts.customer, service, key),
            body,
            attempt,
        })
    }

    /// The refusal as the caller sees it, with other addresses where they help.
    pub(crate) fn refusal_wire(&self, request: RequestId, refusal: AdmitRefusal) -> RefusalWire {
        let AdmitRefusal {
            outcome,
            code,
            message,
            retry_after,
        } = refusal;
        let mut wire = RefusalWire::new(outcome, code, message, request);
        wire.error.retry_after_ms = retry_after.map(|wait| wait.as_millis() as u64);
        if matches!(code, RefusalCode::NodeDraining | RefusalCode::NotCurrent) {
            wire.error.addresses = self.other_addresses();
        }
        wire
    }

    /// Refuses an attempt that was let in, and takes back what it holds.
    pub(crate) fn refuse_plan(&mut self, plan: RequestPlan, refusal: AdmitRefusal) {
        self.limiter.finish(plan.customer_key, plan.tokens, 0);
        self.refused.note(plan.offer, refusal.code);
        if let Some(claim) = &plan.claim {
            self.claims.settle(claim.release_step());
        }
        let detail = format!("{:?}: {}", refusal.code, refusal.message);
        self.note_plan(EventKind::RequestRefused, &plan, detail);
        let wire = self.refusal_wire(plan.call.request, refusal);
        reply_to(&plan.reply, AdmitReply::Refused(wire));
    }
}

/// Tokens a request is taken to cost.
fn foreseen_tokens(call: &AdmitCall) -> u32 {
    if matches!(call.target, RequestTarget::Service { .. }) {
        return 0;
    }
    let prompt = u32::try_from(call.prompt.len() / TOKEN_BYTES).unwrap_or(u32::MAX);
    prompt.saturating_add(call.max_output_tokens.unwrap_or(USUAL_TOKENS))
}

/// Prefix keys of a model request's prompt.
fn prompt_prefixes(facts: &TargetFacts, call: &AdmitCall) -> Vec<PrefixKey> {
    match &call.target {
        RequestTarget::Model { model, .. } => prefix_chain(&facts.customer, model, &call.prompt),
        RequestTarget::Service { .. } => Vec::new(),
    }
}
