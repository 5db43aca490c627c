use std::{
    future::Future,
    pin::Pin,
    rc::Rc,
    time::Duration, //
};

use tokio::time::{
    Instant,
    sleep_until, //
};

use crate::{
    edge_state::EdgeShared,
    endpoint_call::{
        CallOutcome,
        call_endpoint, //
    },
    endpoint_choice::ChosenEndpoint,
    request_plan::RequestPlan, //
};

/// Time for which a late call is kept beside the next attempt.
///
/// A rejection or a failed dial takes less. An endpoint that has done neither by then has taken the
/// request, and would otherwise run it at the same time for long.
const OVERLAP: Duration = Duration::from_millis(500);

/// A call to an endpoint that has not responded in time, kept until another endpoint has taken the
/// request.
///
/// Dropping it closes the connection.
pub(crate) struct LateCall {
    outcome: Pin<Box<dyn Future<Output = LateOutcome>>>,
}

/// Outcome of a late call.
pub(crate) struct LateOutcome {
    pub(crate) chosen: ChosenEndpoint,
    pub(crate) outcome: CallOutcome,
}

impl LateOutcome {
    /// Whether the client can have the response.
    fn is_usable(&self) -> bool {
        match &self.outcome {
            CallOutcome::Full(response) => !response.status.is_server_error(),
            CallOutcome::Events(_) => true,
            _ => false,
        }
    }
}

impl LateCall {
    /// Creates a call that sends the request once it is awaited.
    pub(crate) fn new(
        shared: &Rc<EdgeShared>,
        plan: &Rc<RequestPlan>,
        chosen: &ChosenEndpoint,
    ) -> Self {
        let (shared, plan) = (Rc::clone(shared), Rc::clone(plan));
        let chosen = chosen.clone();
        let outcome = async move {
            let last_event_id = plan.metadata.last_event_id;
            let outcome = call_endpoint(&shared, &plan, &chosen, last_event_id).await;
            LateOutcome { chosen, outcome }
        };
        Self {
            outcome: Box::pin(outcome),
        }
    }

    /// Waits for the outcome; may be called again if it is cancelled.
    pub(crate) async fn wait(&mut self) -> LateOutcome {
        self.outcome.as_mut().await
    }
}

/// Waits for a response to the late call, if there is one, after other endpoints have failed; `None`
/// if there is none that can be returned to the client.
pub(crate) async fn finish_late(
    shared: &EdgeShared,
    late_call: Option<LateCall>,
) -> Option<LateOutcome> {
    let mut call = late_call?;
    let mut shutdown_imminent = shared.shutdown_imminent.subscribe();
    // The sender lives as long as the edge, so this completes only on shutdown.
    let shutdown_notice = shutdown_imminent.wait_for(|is_imminent| *is_imminent);
    let outcome = tokio::select! {
        outcome = call.wait() => outcome,
        _ = shutdown_notice => return None,
    };
    outcome.is_usable().then_some(outcome)
}

/// Makes the next attempt beside a late call, unless that one is answered first.
///
/// The late call is dropped once another endpoint seems to have taken the request.
pub(crate) async fn attempt_beside<T>(
    late_call: &mut Option<LateCall>,
    attempt: impl Future<Output = T>,
) -> Result<T, LateOutcome> {
    let kept_until = Instant::now() + OVERLAP;
    tokio::pin!(attempt);
    while let Some(mut call) = late_call.take() {
        tokio::select! {
            attempted = &mut attempt => {
                *late_call = Some(call);
                return Ok(attempted);
            }
            outcome = call.wait() => {
                if outcome.is_usable() {
                    return Err(outcome);
                }
            }
            () = sleep_until(kept_until) => {}
        }
    }
    Ok(attempt.await)
}
