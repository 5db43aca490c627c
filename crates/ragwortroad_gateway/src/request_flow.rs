use std::sync::Arc;

use hyper::{
    Request,
    Response,
    body::Incoming, //
};
use ragwortroad_types::prelude::*;

use bytes::Bytes;
use http_body_util::Full;

use crate::{
    AdmitCall,
    AdmitGrant,
    AdmitReply,
    AttemptOutcome,
    RecordedResponse,
    admit_wait::AdmitWait,
    attempt_guard::AttemptGuard,
    endpoint_link::EndpointLink,
    gateway_state::GatewayState,
    request_context::RequestContext, //
};

/// One request's way over as many attempts as the control thread grants.
pub(crate) struct RequestFlow {
    pub(crate) state: Arc<GatewayState>,
    pub(crate) context: RequestContext,
    /// The next admission's call; grows by what earlier attempts taught.
    call: AdmitCall,
    attempts: u32,
    /// Whether bytes of an earlier attempt may have reached an endpoint.
    ///
    /// Invariant: once true, no refusal of this request may say `not_run`.
    sent: bool,
}

/// An attempt with an open connection, before its first byte is sent.
pub(crate) struct OpenAttempt {
    pub(crate) grant: AdmitGrant,
    pub(crate) guard: AttemptGuard,
    pub(crate) link: EndpointLink,
}

/// Why a flow ends without an endpoint's answer.
pub(crate) enum FlowEnd {
    /// The answer of the same idempotency key, recorded earlier.
    Recorded(RecordedResponse),
    /// A refusal.
    Refused(Box<RefusalWire>),
}

impl From<RefusalWire> for FlowEnd {
    fn from(refusal: RefusalWire) -> Self {
        Self::Refused(Box::new(refusal))
    }
}

impl RequestFlow {
    pub(crate) fn new(state: Arc<GatewayState>, context: RequestContext, call: AdmitCall) -> Self {
        Self {
            state,
            context,
            call,
            attempts: 0,
            sent: false,
        }
    }

    /// Asks the control thread for grants until a connection to an endpoint is open.
    pub(crate) async fn open(&mut self) -> Result<OpenAttempt, FlowEnd> {
        loop {
            if self.attempts >= self.state.settings.max_attempts {
                return Err(self.exhausted());
            }
            let grant = self.admit().await?;
            self.attempts += 1;
            let span = tracing::Span::current();
            span.record("customer", grant.customer.as_str());
            span.record("endpoint", tracing::field::display(grant.endpoint));
            let cancels = matches!(self.call.target, crate::RequestTarget::Model { .. });
            let guard = AttemptGuard::new(
                Arc::clone(&self.state),
                &grant,
                &self.context,
                self.attempts,
                cancels,
            );
            if let Some(link) = self.pooled(&grant) {
                return Ok(OpenAttempt { grant, guard, link });
            }
            let limit = self.state.settings.connect_timeout;
            match EndpointLink::connect(grant.address, limit).await {
                Ok(link) => return Ok(OpenAttempt { grant, guard, link }),
                Err(error) => {
                    tracing::info!(endpoint = %grant.endpoint, %error, "connection refused");
                    guard.finish(AttemptOutcome::NotSent);
                    self.exclude(&grant);
                }
            }
        }
    }

    /// Sends the attempt's request and awaits the head of the answer.
    ///
    /// A pooled connection that its endpoint closed meanwhile fails here, and gets one more try
    /// over a fresh one: only idempotent requests use pooled connections.
    pub(crate) async fn exchange(
        &mut self,
        attempt: &mut OpenAttempt,
        make: impl Fn(&AdmitGrant, u32) -> Option<Request<Full<Bytes>>>,
    ) -> Result<Response<Incoming>, String> {
        let unfit = || "the request cannot be written as HTTP".to_owned();
        let request = make(&attempt.grant, attempt.guard.attempt()).ok_or_else(unfit)?;
        attempt.guard.mark_sent();
        self.sent = true;
        match attempt.link.send(request).await {
            Ok(answer) => Ok(answer),
            Err(error) if attempt.link.was_used() && self.call.idempotent => {
                tracing::debug!(%error, "a kept connection was closed; using a fresh one");
                let limit = self.state.settings.connect_timeout;
                let address = attempt.grant.address;
                attempt.link = EndpointLink::connect(address, limit)
                    .await
                    .map_err(|error| format!("no connection: {error}"))?;
                let request = make(&attempt.grant, attempt.guard.attempt()).ok_or_else(unfit)?;
                let sent = attempt.link.send(request).await;
                sent.map_err(|error| format!("no answer: {error}"))
            }
            Err(error) => Err(format!("no answer: {error}")),
        }
    }

    /// Reports a broken attempt. The flow may go on with another one only if that is harmless.
    pub(crate) fn broken(
        &mut self,
        grant: &AdmitGrant,
        guard: AttemptGuard,
        why: &str,
    ) -> Result<(), FlowEnd> {
        tracing::warn!(endpoint = %grant.endpoint, why, "broken answer");
        guard.finish(AttemptOutcome::Broken);
        self.exclude(grant);
        match self.call.idempotent {
            true => Ok(()),
            false => Err(self.context.unknown(RefusalCode::BrokenAnswer, why).into()),
        }
    }

    /// The refusal for a request whose deadline passed.
    pub(crate) fn overdue(&self) -> RefusalWire {
        let message = "no whole answer came before the deadline";
        let refusal = self.context.not_run(RefusalCode::DeadlinePassed, message);
        self.honest(refusal)
    }

    async fn admit(&mut self) -> Result<AdmitGrant, FlowEnd> {
        let mut call = self.call.clone();
        call.time_left = self.context.time_left();
        match AdmitWait::ask(&self.state, call).await {
            Ok(AdmitReply::Granted(grant)) => Ok(grant),
            Ok(AdmitReply::Recorded(answer)) => Err(FlowEnd::Recorded(answer)),
            Ok(AdmitReply::Refused(refusal)) => Err(self.honest(refusal).into()),
            Err(_) => {
                let message = "the node's control thread has ended";
                let refusal = self.context.not_run(RefusalCode::InternalFault, message);
                Err(self.honest(refusal).into())
            }
        }
    }

    /// Takes back a `not_run` that is true of the last attempt only.
    ///
    /// The control thread judges the attempt it refuses. When an earlier attempt was sent, the
    /// caller must not be told that the request did not run.
    fn honest(&self, mut refusal: RefusalWire) -> RefusalWire {
        if self.sent && refusal.error.outcome == RequestOutcome::NotRun {
            refusal.error.outcome = RequestOutcome::Unknown;
        }
        refusal.error.request_id = self.context.request.to_string();
        refusal
    }

    fn exclude(&mut self, grant: &AdmitGrant) {
        self.call.retry_of = Some(grant.ticket);
        if !self.call.excluded.contains(&grant.endpoint) {
            self.call.excluded.push(grant.endpoint);
        }
    }

    fn exhausted(&self) -> FlowEnd {
        let message = format!("{} endpoints failed in turn", self.attempts);
        let code = match self.sent {
            true => RefusalCode::BrokenAnswer,
            false => RefusalCode::NoEndpoint,
        };
        self.honest(self.context.not_run(code, message)).into()
    }

    fn pooled(&self, grant: &AdmitGrant) -> Option<EndpointLink> {
        match self.call.idempotent {
            true => self.state.pool.take(grant.address),
            false => None,
        }
    }
}
