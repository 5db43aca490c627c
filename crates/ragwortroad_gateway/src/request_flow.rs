use std::{
    io,
    sync::Arc,
    time::Duration, //
};

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

/// Timeout for connecting to an endpoint that may have crashed.
///
/// A closed port answers within a round trip; a VM that doesn't answer has not crashed under a
/// request.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Processes one request over as many attempts as the control thread grants.
pub(crate) struct RequestFlow {
    pub(crate) state: Arc<GatewayState>,
    pub(crate) context: RequestContext,
    /// The call for the next admission; each failed attempt adds its endpoint and ticket.
    call: AdmitCall,
    attempts: u32,
    /// Whether bytes of an earlier attempt may have reached an endpoint.
    ///
    /// Invariant: once true, no refusal of this request may say `not_run`.
    sent: bool,
}

/// An attempt with an open connection, before any byte is sent.
pub(crate) struct OpenAttempt {
    pub(crate) grant: AdmitGrant,
    pub(crate) guard: AttemptGuard,
    pub(crate) link: EndpointLink,
}

/// Why a request ends without a response from an endpoint.
pub(crate) enum FlowEnd {
    /// The response recorded earlier under the same idempotency key.
    Recorded(RecordedResponse),
    /// A refusal, from the control thread or from the gateway itself.
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
                return Err(self.exhausted_refusal());
            }
            let grant = self.admit().await?;
            self.attempts += 1;
            let span = tracing::Span::current();
            span.record("customer", grant.customer.as_str());
            span.record("endpoint", tracing::field::display(grant.endpoint));
            let supports_cancel = matches!(self.call.target, crate::RequestTarget::Model { .. });
            let guard = AttemptGuard::new(
                Arc::clone(&self.state),
                &grant,
                &self.context,
                self.attempts,
                supports_cancel,
            );
            if let Some(link) = self.take_pooled_link(&grant) {
                return Ok(OpenAttempt { grant, guard, link });
            }
            let limit = self.state.settings.connect_timeout;
            match EndpointLink::connect(grant.address, limit).await {
                Ok(link) => return Ok(OpenAttempt { grant, guard, link }),
                Err(error) => {
                    tracing::info!(
                        endpoint = %grant.endpoint,
                        %error,
                        "failed to connect to the endpoint"
                    );
                    guard.finish(AttemptOutcome::NotSent);
                    self.exclude(&grant);
                }
            }
        }
    }

    /// Sends the attempt's request and awaits the head of the response.
    ///
    /// A pooled connection that its endpoint has closed in the meantime fails here. The request is
    /// then sent once more over a fresh connection, because only idempotent requests use pooled
    /// ones.
    pub(crate) async fn exchange(
        &mut self,
        attempt: &mut OpenAttempt,
        make_request: impl Fn(&AdmitGrant, u32) -> Option<Request<Full<Bytes>>>,
    ) -> Result<Response<Incoming>, String> {
        let unwritable = || "the request cannot be written as HTTP".to_owned();
        let request =
            make_request(&attempt.grant, attempt.guard.attempt()).ok_or_else(unwritable)?;
        attempt.guard.mark_sent();
        self.sent = true;
        match attempt.link.send(request).await {
            Ok(response) => Ok(response),
            Err(error) if attempt.link.was_used() && self.call.idempotent => {
                tracing::debug!(%error, "pooled connection was closed; retrying on a new one");
                let limit = self.state.settings.connect_timeout;
                let address = attempt.grant.address;
                attempt.link = EndpointLink::connect(address, limit)
                    .await
                    .map_err(|error| format!("no connection: {error}"))?;
                let request =
                    make_request(&attempt.grant, attempt.guard.attempt()).ok_or_else(unwritable)?;
                let sent = attempt.link.send(request).await;
                sent.map_err(|error| format!("no answer: {error}"))
            }
            Err(error) => Err(format!("no answer: {error}")),
        }
    }

    /// Reports an attempt without a complete response. Returns an error unless the request is
    /// idempotent and may be retried.
    pub(crate) async fn fail_attempt(
        &mut self,
        grant: &AdmitGrant,
        guard: AttemptGuard,
        reason: &str,
    ) -> Result<(), FlowEnd> {
        let outcome = match has_crashed(grant).await {
            true => AttemptOutcome::Crashed,
            false => AttemptOutcome::Broken,
        };
        self.end_attempt(grant, guard, outcome, reason)
    }

    /// Reports an attempt that the endpoint answered with an error. Returns an error unless the
    /// request is idempotent and may be retried.
    pub(crate) fn reject_attempt(
        &mut self,
        grant: &AdmitGrant,
        guard: AttemptGuard,
        reason: &str,
    ) -> Result<(), FlowEnd> {
        self.end_attempt(grant, guard, AttemptOutcome::Broken, reason)
    }

    fn end_attempt(
        &mut self,
        grant: &AdmitGrant,
        guard: AttemptGuard,
        outcome: AttemptOutcome,
        reason: &str,
    ) -> Result<(), FlowEnd> {
        tracing::warn!(
            endpoint = %grant.endpoint,
            why = reason,
            "attempt failed with an invalid or incomplete response"
        );
        guard.finish(outcome);
        self.exclude(grant);
        match self.call.idempotent {
            true => Ok(()),
            false => Err(self
                .context
                .unknown(RefusalCode::BrokenAnswer, reason)
                .into()),
        }
    }

    /// Binds the further attempts to endpoints with the build of an attempt that began the response;
    /// returns `false` if the build is not known.
    pub(crate) fn bind_build(&mut self, grant: &AdmitGrant) -> bool {
        self.call.build = self.call.build.take().or_else(|| grant.build.clone());
        self.call.build.is_some()
    }

    /// The refusal for a request whose deadline passed.
    pub(crate) fn deadline_refusal(&self) -> RefusalWire {
        let message = "no whole answer came before the deadline";
        let refusal = self.context.not_run(RefusalCode::DeadlinePassed, message);
        self.correct_outcome(refusal)
    }

    async fn admit(&mut self) -> Result<AdmitGrant, FlowEnd> {
        let mut call = self.call.clone();
        call.time_left = self.context.time_left();
        match AdmitWait::request(&self.state, call).await {
            Ok(AdmitReply::Granted(grant)) => Ok(grant),
            Ok(AdmitReply::Recorded(response)) => Err(FlowEnd::Recorded(response)),
            Ok(AdmitReply::Refused(refusal)) => Err(self.correct_outcome(refusal).into()),
            Err(_) => {
                let message = "the node's control thread has ended";
                let refusal = self.context.not_run(RefusalCode::InternalFault, message);
                Err(self.correct_outcome(refusal).into())
            }
        }
    }

    /// Changes a `not_run` that holds only for the last attempt into `unknown`.
    ///
    /// The control thread judges only the attempt that it refuses. If an earlier attempt was sent,
    /// the client must not be told that the request did not run.
    fn correct_outcome(&self, mut refusal: RefusalWire) -> RefusalWire {
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

    fn exhausted_refusal(&self) -> FlowEnd {
        let message = format!("{} endpoints failed in turn", self.attempts);
        let code = match self.sent {
            true => RefusalCode::BrokenAnswer,
            false => RefusalCode::NoEndpoint,
        };
        self.correct_outcome(self.context.not_run(code, message))
            .into()
    }

    fn take_pooled_link(&self, grant: &AdmitGrant) -> Option<EndpointLink> {
        match self.call.idempotent {
            true => self.state.pool.take(grant.address),
            false => None,
        }
    }
}

/// Whether an endpoint that sent no complete response has crashed: its port is closed.
async fn has_crashed(grant: &AdmitGrant) -> bool {
    let connected = EndpointLink::connect(grant.address, CRASH_CHECK_TIMEOUT).await;
    connected.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}
