//! Admission: authenticates the client, resolves the target, and checks limits and retries.

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
        send_reply, //
    },
    request::pending_attempt::{
        HeldClaim,
        PendingAttempt, //
    }, //
};

/// Output tokens assumed for a request that sets no token limit.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// Approximate bytes of prompt text in one token.
const BYTES_PER_TOKEN: usize = 4;

/// Retry delay sent to a client when this node can't confirm that its configuration is current.
const NOT_CURRENT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A refusal that doesn't carry its request's id yet.
pub(crate) struct AdmitRefusal {
    pub(crate) outcome: RequestOutcome,
    pub(crate) code: RefusalCode,
    pub(crate) message: String,
    pub(crate) retry_after: Option<Duration>,
}

impl AdmitRefusal {
    /// Creates a refusal of a request of which nothing was sent to an endpoint.
    pub(crate) fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            outcome: RequestOutcome::NotRun,
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Sets the delay after which the client may retry.
    pub(crate) fn with_retry_after(self, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..self
        }
    }
}

/// The target of a request, resolved against the configuration.
struct ResolvedTarget {
    customer: String,
    offer: OfferKey,
    version: Option<String>,
    idempotent: bool,
    service: Option<String>,
}

impl ControlState {
    /// Handles an admission call from a traffic thread.
    pub(crate) fn admit(&mut self, call: AdmitCall, reply: Sender<AdmitReply>, now: ClockTime) {
        let request = call.request;
        match self.check_call(call, &reply, now) {
            Ok(attempt) => self.start_attempt(attempt, now),
            Err(refusal) => {
                self.events.record(FleetEvent {
                    request: Some(request),
                    detail: format!("{:?}: {}", refusal.code, refusal.message),
                    ..FleetEvent::new(EventKind::RequestRefused)
                });
                let wire = self.refusal_wire(request, refusal);
                send_reply(&reply, AdmitReply::Refused(wire));
            }
        }
    }

    /// Returns an error while this node may not admit requests.
    pub(crate) fn check_admits(&self, now: ClockTime) -> Result<(), AdmitRefusal> {
        if self.draining {
            let message = "this node is shutting down";
            return Err(AdmitRefusal::not_run(RefusalCode::NodeDraining, message));
        }
        if let Err(reason) = self.follower.guard.may_admit(now) {
            let refusal = AdmitRefusal::not_run(RefusalCode::NotCurrent, reason.to_string());
            return Err(refusal.with_retry_after(NOT_CURRENT_RETRY_AFTER));
        }
        if self.follower.config.drains_node(&self.settings.node.name) {
            let message = "an operator drains this node";
            return Err(AdmitRefusal::not_run(RefusalCode::NodeDraining, message));
        }
        Ok(())
    }

    /// Validates a call and charges it to the customer's limit.
    fn check_call(
        &mut self,
        call: AdmitCall,
        reply: &Sender<AdmitReply>,
        now: ClockTime,
    ) -> Result<PendingAttempt, AdmitRefusal> {
        self.check_admits(now)?;
        let chat = self.chat_key(&call);
        let facts = self.resolve_target(&call, chat)?;
        let digest = request_digest(&facts, &call);
        self.check_quarantine(digest, now)?;
        self.check_retry(&call, facts.idempotent)?;
        let customer_key = CustomerKey::from_name(&facts.customer);
        let tokens = estimated_tokens(&call);
        let priority = match self.limiter.admit(customer_key, tokens, now) {
            LimitAnswer::Admitted { priority } => priority,
            LimitAnswer::Refused { retry_after } => {
                let message = format!("customer {} is over its limit", facts.customer);
                let refusal = AdmitRefusal::not_run(RefusalCode::CustomerLimit, message);
                return Err(refusal.with_retry_after(retry_after));
            }
        };
        let hint = call.hint.as_deref();
        let hint = hint.and_then(|hint| self.hints.decode(customer_key, hint));
        let prefixes = prompt_prefixes(&facts, &call);
        let claim = self.build_claim(&facts, &call);
        let attempt = PendingAttempt {
            customer_key,
            offer: facts.offer,
            version: facts.version,
            chat,
            prefixes,
            hint,
            tokens,
            priority,
            digest,
            claim,
            excluded: self.excluded_endpoints(&call),
            homes_asked: 0,
            homes_full: 0,
            started: now,
            reply: reply.clone(),
            customer: facts.customer,
            call,
        };
        let kind = match attempt.call.retry_of {
            None => EventKind::RequestAdmitted,
            Some(_) => EventKind::RequestRetried,
        };
        self.record_attempt_event(kind, &attempt, String::new());
        Ok(attempt)
    }

    /// Endpoints that must not get an attempt: those that failed an earlier one, and those of other
    /// builds than the one that began the response.
    fn excluded_endpoints(&self, call: &AdmitCall) -> Vec<EndpointId> {
        let mut excluded = call.excluded.clone();
        if call.build.is_some() {
            let endpoints = self.membership.endpoints();
            let others = endpoints.filter(|record| record.build != call.build);
            excluded.extend(others.map(|record| record.id));
        }
        excluded
    }

    /// Places an attempt; one that must not run twice first waits for a claim on its idempotency
    /// key.
    fn start_attempt(&mut self, attempt: PendingAttempt, now: ClockTime) {
        match &attempt.claim {
            Some(claim) => {
                let step = claim.claim_step();
                self.claims.push_claim(step, attempt);
            }
            None => self.place_attempt(attempt, now),
        }
    }

    fn chat_key(&self, call: &AdmitCall) -> Option<ChatKey> {
        let (customer, _) = self.follower.customer_of(call.key_hash)?;
        let chat = call.chat.as_deref()?;
        Some(ChatKey::from_parts(customer, chat))
    }

    /// Resolves the customer and the target of a call with the configuration in force.
    fn resolve_target(
        &mut self,
        call: &AdmitCall,
        chat: Option<ChatKey>,
    ) -> Result<ResolvedTarget, AdmitRefusal> {
        let Some((customer, entry)) = self.follower.customer_of(call.key_hash) else {
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
                    .and_then(|model_use| model_use.version.clone());
                let version = match pinned {
                    Some(version) => version,
                    None => self.version_for(model, chat, call.request)?,
                };
                Ok(ResolvedTarget {
                    customer,
                    offer: OfferKey::model(model, &version, adapter.as_deref()),
                    version: Some(version),
                    idempotent: true,
                    service: None,
                })
            }
            RequestTarget::Service { service } => {
                let declared = self.follower.config.services.get(service);
                let allowed = entry.services.contains(service);
                let Some(declared) = declared.filter(|_| allowed) else {
                    let message = format!("no service '{service}' serves customer {customer}");
                    return Err(AdmitRefusal::not_run(RefusalCode::UnknownService, message));
                };
                Ok(ResolvedTarget {
                    customer,
                    offer: OfferKey::service(service),
                    version: None,
                    idempotent: declared.is_idempotent(&call.method, &call.path),
                    service: Some(service.clone()),
                })
            }
        }
    }

    /// Returns the model version for a request. A chat keeps its version as long as that version is
    /// declared.
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
        let plan = self.follower.version_plan(model).ok_or_else(unknown)?;
        let current = chat.and_then(|chat| self.follower.versions.get(chat, model));
        let version = plan.version_for(chat, current.as_deref(), request.0);
        let version = version.ok_or_else(unknown)?.to_owned();
        if let Some(chat) = chat {
            self.follower.versions.put(chat, model, &version);
        }
        Ok(version)
    }

    /// Returns an error if the call retries a failed attempt that may not be retried.
    fn check_retry(&mut self, call: &AdmitCall, idempotent: bool) -> Result<(), AdmitRefusal> {
        let Some(ticket) = call.retry_of else {
            self.retry_budget.record_first_attempt();
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
            self.retry_policy.may_retry(failed, &mut self.retry_budget)
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
            retry_after: Some(NOT_CURRENT_RETRY_AFTER),
        })
    }

    /// Builds the claim that a request with an idempotency key must hold before its first byte is
    /// sent. `None` for idempotent requests and for those without a key.
    fn build_claim(&mut self, facts: &ResolvedTarget, call: &AdmitCall) -> Option<HeldClaim> {
        if facts.idempotent {
            return None;
        }
        let key = call.idempotency_key.as_deref()?;
        let service = facts.service.as_deref()?;
        let mut body = [0; 16];
        body.copy_from_slice(&call.body_hash[..16]);
        // Each attempt gets an id of its own: a released claim is never granted again under the
        // same id, and a retry after a refused connection needs a new grant.
        let attempt = ClaimAttempt {
            node: self.node,
            request: RequestId(self.next_random()),
        };
        Some(HeldClaim {
            key: ClaimKey::new(&facts.customer, service, key),
            body,
            attempt,
        })
    }

    /// Converts a refusal to the form sent to the client. Adds the addresses of other nodes if the
    /// refusal concerns only this node.
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

    /// Refuses an admitted attempt, and releases its limit charge and its claim.
    pub(crate) fn refuse_attempt(&mut self, attempt: PendingAttempt, refusal: AdmitRefusal) {
        self.limiter.finish(attempt.customer_key, attempt.tokens, 0);
        self.refused.record(attempt.offer, refusal.code);
        if let Some(claim) = &attempt.claim {
            self.claims.push_step(claim.release_step());
        }
        let detail = format!("{:?}: {}", refusal.code, refusal.message);
        self.record_attempt_event(EventKind::RequestRefused, &attempt, detail);
        let wire = self.refusal_wire(attempt.call.request, refusal);
        send_reply(&attempt.reply, AdmitReply::Refused(wire));
    }
}

/// Estimates the tokens to charge for a request.
fn estimated_tokens(call: &AdmitCall) -> u32 {
    if matches!(call.target, RequestTarget::Service { .. }) {
        return 0;
    }
    let prompt = u32::try_from(call.prompt.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
    prompt.saturating_add(call.max_output_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS))
}

/// Returns the digest of the customer, the target, the path and the body of a request.
fn request_digest(facts: &ResolvedTarget, call: &AdmitCall) -> RequestDigest {
    let service = facts.service.as_deref().unwrap_or_default();
    RequestDigest::from_parts([
        facts.customer.as_bytes(),
        service.as_bytes(),
        &call.body_hash,
    ])
}

/// Returns the prefix keys of a model request's prompt; none for a service request.
fn prompt_prefixes(facts: &ResolvedTarget, call: &AdmitCall) -> Vec<PrefixKey> {
    match &call.target {
        RequestTarget::Model { model, .. } => prefix_chain(&facts.customer, model, &call.prompt),
        RequestTarget::Service { .. } => Vec::new(),
    }
}
