use std::{
    cell::Cell,
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll, //
    }, //
};

use ragwortroad_dispatch::prelude::*;
use tokio::time::Instant;

use crate::{
    crash_check::CrashCheck,
    crash_watch::{
        is_doubtful,
        is_quarantined, //
    },
    edge_state::EdgeShared,
    endpoint_call::{
        CallOutcome,
        EventStream,
        call_endpoint, //
    },
    endpoint_choice::choose_endpoint,
    relay_call::{
        call_peer,
        needs_relay,
        next_peer, //
    },
    request_plan::RequestPlan, //
};

/// Search for an endpoint, or an edge that reaches one, that resumes a stream.
///
/// Dropping it closes the connection of a call that is under way.
pub(crate) struct StreamSearch {
    found: Pin<Box<dyn Future<Output = Option<Box<EventStream>>>>>,
}

impl StreamSearch {
    /// Creates a search for an endpoint that resumes after `last_event_id`.
    ///
    /// `attempts` is the number of endpoints that were sent the request, which the search updates.
    /// The caller has asked [`may_search`].
    pub(crate) fn new(
        shared: &Rc<EdgeShared>,
        plan: &Rc<RequestPlan>,
        tried: Vec<EndpointKey>,
        attempts: &Rc<Cell<u32>>,
        last_event_id: Option<u64>,
    ) -> Self {
        let (shared, plan) = (Rc::clone(shared), Rc::clone(plan));
        let attempts = Rc::clone(attempts);
        let found = resume(shared, plan, tried, attempts, last_event_id);
        Self {
            found: Box::pin(found),
        }
    }

    /// Suspends the search until the check of the endpoint that cut the stream off has a result,
    /// and ends it if another endpoint might crash under the request as well.
    pub(crate) fn after_check(
        self,
        shared: &Rc<EdgeShared>,
        plan: &Rc<RequestPlan>,
        check: CrashCheck,
        is_suspect: bool,
    ) -> Self {
        let (shared, plan) = (Rc::clone(shared), Rc::clone(plan));
        Self {
            found: Box::pin(async move {
                check.settle().await;
                if is_suspect && is_doubtful(&shared, &plan) {
                    return None;
                }
                self.found.await
            }),
        }
    }

    /// Polls for the resumed stream; `None` if there is none.
    pub(crate) fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Box<EventStream>>> {
        self.found.as_mut().poll(context)
    }
}

/// Whether a stream that was sent to `attempts` endpoints may be sent to another one; takes the
/// retry out of the budget.
pub(crate) fn may_search(shared: &EdgeShared, plan: &RequestPlan, attempts: u32) -> bool {
    let has_time = Instant::now() < plan.deadline;
    let is_enabled = shared.settings.mechanisms.resume;
    let is_repeatable = plan.rule().is_repeatable();
    is_enabled && has_time && is_repeatable && attempts < plan.max_attempts() && {
        let now = shared.now();
        let mut state = shared.state.borrow_mut();
        let budget = state.budget_mut(&plan.service, &shared.settings, now);
        budget.withdraw()
    }
}

async fn resume(
    shared: Rc<EdgeShared>,
    plan: Rc<RequestPlan>,
    mut tried: Vec<EndpointKey>,
    attempts: Rc<Cell<u32>>,
    last_event_id: Option<u64>,
) -> Option<Box<EventStream>> {
    let mut tried_peers = Vec::new();
    loop {
        if is_quarantined(&shared, &plan) {
            return None;
        }
        let outcome = if needs_relay(&shared, &plan) {
            let peer = next_peer(&shared, &tried_peers).await?;
            tried_peers.push(peer.address);
            attempts.update(|count| count + 1);
            call_peer(&shared, &plan, &peer, last_event_id, None)
                .await
                .outcome
        } else {
            let chosen = choose_endpoint(&shared, &plan, &tried)?;
            tried.push(chosen.key);
            attempts.update(|count| count + 1);
            call_endpoint(&shared, &plan, &chosen, last_event_id).await
        };
        match outcome {
            CallOutcome::Events(upstream) => return Some(upstream),
            // The request did not reach an endpoint, so this does not count as an attempt.
            CallOutcome::NotSent { .. } => attempts.update(|count| count - 1),
            CallOutcome::NotRun { .. } | CallOutcome::Misdirected
                if may_search(&shared, &plan, attempts.get()) => {}
            CallOutcome::Lost { .. }
                if !is_doubtful(&shared, &plan) && may_search(&shared, &plan, attempts.get()) => {}
            _ => return None,
        }
    }
}
