use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use hyper::{
    Response,
    StatusCode,
    header::RETRY_AFTER, //
};
use ragwortroad_types::prelude::*;
use tokio::time::Instant;

use crate::{
    AdmitGrant,
    AttemptOutcome,
    ControlCall,
    FinishCall,
    TicketId,
    cancel_worker::CancelRequest,
    gateway_state::GatewayState,
    request_context::RequestContext, //
};

/// Returns a grant exactly once, also when the task that holds it is dropped.
///
/// The task of a connection is dropped midway when its client disconnects. Without this guard the
/// grant would count as load forever, and the engine would go on with work whose result nobody
/// reads.
pub(crate) struct AttemptGuard {
    state: Arc<GatewayState>,
    ticket: TicketId,
    address: SocketAddr,
    request: RequestId,
    /// Number of the attempt within the request, starting at 1.
    attempt: u32,
    started: Instant,
    deadline: Instant,
    /// Whether bytes of the attempt may have been sent.
    sent: bool,
    /// Whether the endpoint supports `POST /v1/cancel`.
    supports_cancel: bool,
    /// Time for which the endpoint wants no further request.
    rest: Option<Duration>,
    /// Invariant: true once the [`FinishCall`] was sent.
    finished: bool,
}

impl AttemptGuard {
    pub(crate) fn new(
        state: Arc<GatewayState>,
        grant: &AdmitGrant,
        context: &RequestContext,
        attempt: u32,
        supports_cancel: bool,
    ) -> Self {
        Self {
            state,
            ticket: grant.ticket,
            address: grant.address,
            request: context.request,
            attempt,
            started: Instant::now(),
            deadline: context.deadline,
            sent: false,
            supports_cancel,
            rest: None,
            finished: false,
        }
    }

    pub(crate) fn attempt(&self) -> u32 {
        self.attempt
    }

    pub(crate) fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Notes the rest that the endpoint asks for in its response.
    pub(crate) fn note_rest<B>(&mut self, response: &Response<B>) {
        self.rest = requested_rest(response);
    }

    /// Reports the end of the attempt to the control thread.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome) {
        self.report(outcome);
    }

    fn report(&mut self, outcome: AttemptOutcome) {
        if self.finished {
            return;
        }
        self.finished = true;
        let duration = self.started.elapsed();
        let abandoned = matches!(
            outcome,
            AttemptOutcome::Cancelled | AttemptOutcome::TimedOut | AttemptOutcome::Broken
        );
        metrics::counter!("ragwortroad_attempts_total", "outcome" => outcome_name(&outcome))
            .increment(1);
        metrics::histogram!("ragwortroad_attempt_seconds").record(duration.as_secs_f64());
        let finish = FinishCall {
            ticket: self.ticket,
            outcome,
            duration,
            rest: self.rest,
        };
        if self.state.calls.send(ControlCall::Finish(finish)).is_err() {
            tracing::error!(
                request = %self.request,
                "control thread has ended; attempt outcome not reported"
            );
        }
        if abandoned && self.sent && self.supports_cancel {
            self.request_cancel();
        }
    }

    fn request_cancel(&self) {
        let request = CancelRequest {
            address: self.address,
            request: self.request,
            attempt: self.attempt,
        };
        if self.state.cancels.send(request).is_err() {
            tracing::debug!(
                request = %self.request,
                "cancellation dropped; the cancel worker has ended"
            );
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let outcome = if !self.sent {
            AttemptOutcome::NotSent
        } else if Instant::now() >= self.deadline {
            AttemptOutcome::TimedOut
        } else {
            AttemptOutcome::Cancelled
        };
        self.report(outcome);
    }
}

/// Returns the rest in `Retry-After` of a 503, in seconds.
fn requested_rest<B>(response: &Response<B>) -> Option<Duration> {
    let value = response.headers().get(RETRY_AFTER);
    let value = value.filter(|_| response.status() == StatusCode::SERVICE_UNAVAILABLE)?;
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

fn outcome_name(outcome: &AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::NotSent => "not_sent",
        AttemptOutcome::Completed { .. } => "completed",
        AttemptOutcome::Broken => "broken",
        AttemptOutcome::Crashed => "crashed",
        AttemptOutcome::Cancelled => "cancelled",
        AttemptOutcome::TimedOut => "timed_out",
    }
}
