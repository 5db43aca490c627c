//! Leads requests for contended scarce services to the edges that keep their places.

use std::rc::Rc;

use ragwortroad_dispatch::prelude::*;
use ragwortroad_telemetry::prelude::*;

use crate::{
    edge_state::EdgeShared,
    endpoint_call::{
        CallOutcome,
        LossKind, //
    },
    relay_call::{
        RelayOutcome,
        call_peer,
        may_relay, //
    },
    request_plan::RequestPlan,
    request_progress::{
        AttemptTarget,
        NextStep,
        RequestProgress, //
    },
    scarce_services::{
        may_lead,
        note_contended, //
    }, //
};

/// Number of edges that could not be reached after which a request goes to an endpoint directly.
const MAX_LOST_KEEPERS: u32 = 2;

/// Where this edge sends a request next.
pub(crate) enum LeadStep {
    /// To an endpoint, through this edge's gate.
    Here,
    /// To the edge that keeps the endpoint.
    Keeper(RelayPeer, EndpointTag),
    /// Nowhere, since no keeper has room.
    Full,
}

/// Decides whether a request goes to the keeper of an endpoint.
pub(crate) fn choose_lead(
    shared: &EdgeShared,
    plan: &RequestPlan,
    progress: &mut RequestProgress,
) -> LeadStep {
    progress.is_keeper = false;
    let mechanisms = &shared.settings.mechanisms;
    let is_allowed = may_lead(mechanisms) && may_relay(shared, plan);
    // A repeat is covered by the retry budget. If no keeper had room for it, the failure of an
    // endpoint would become an unknown outcome.
    let is_repeat = progress.attempts > 0;
    if !is_allowed || is_repeat || progress.lost_keepers >= MAX_LOST_KEEPERS {
        return LeadStep::Here;
    }
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    if !state.keepers.is_contended(&plan.service, now) {
        return LeadStep::Here;
    }
    let order = state.lead_order(plan, mechanisms);
    progress.lead_order = order;
    let endpoints = state.scarce_endpoints(&plan.service, now);
    if endpoints.is_empty() {
        return LeadStep::Here;
    }
    let tried = &progress.full_keepers;
    let may_try = tried.is_empty() || {
        let elapsed = plan.received_at.elapsed();
        may_try_keeper(tried.len(), elapsed, plan.max_gate_wait())
    };
    if !may_try {
        return LeadStep::Full;
    }
    let draw = (order, rand::random());
    let decision = state.keepers.decide(&endpoints, tried, draw, now);
    match decision {
        KeeperDecision::Direct => LeadStep::Here,
        KeeperDecision::Full { retry_after } => {
            progress.retry_after = progress.retry_after.or(retry_after);
            LeadStep::Full
        }
        KeeperDecision::Keeper { endpoint, edge } if edge.key == shared.relay_key => {
            state.note_kept(&plan.service, endpoint, now);
            progress.is_keeper = true;
            LeadStep::Here
        }
        KeeperDecision::Keeper { endpoint, edge } => LeadStep::Keeper(edge, endpoint),
    }
}

/// Records that this edge, which keeps the endpoint chosen last, has no room for a request; returns
/// whether another keeper may have some.
pub(crate) fn leave_own_gate(shared: &EdgeShared, progress: &mut RequestProgress) -> bool {
    let was_keeper = std::mem::take(&mut progress.is_keeper);
    let own = shared.settings.callers.filter(|_| was_keeper);
    let now = shared.now();
    if let Some(own) = own {
        let order = progress.lead_order;
        let mut state = shared.state.borrow_mut();
        state.keepers.note_full(own, order, None, now);
        progress.full_keepers.push(own);
    }
    own.is_some()
}

/// Leads a request to the keeper of an endpoint.
pub(crate) async fn lead_request(
    shared: &Rc<EdgeShared>,
    plan: &Rc<RequestPlan>,
    progress: &mut RequestProgress,
    (keeper, endpoint): (RelayPeer, EndpointTag),
) -> NextStep {
    progress.chosen = None;
    let mut shutdown_imminent = shared.shutdown_imminent.subscribe();
    // The sender lives as long as the edge, so this completes only on shutdown.
    let shutdown_notice = shutdown_imminent.wait_for(|is_imminent| *is_imminent);
    let call = call_peer(
        shared,
        plan,
        &keeper,
        plan.metadata.last_event_id,
        Some(endpoint),
    );
    let relayed = tokio::select! {
        relayed = call => relayed,
        _ = shutdown_notice => CallOutcome::TimedOut.into(),
    };
    note_outcome(shared, &keeper, (endpoint, progress.lead_order), &relayed);
    if matches!(relayed.outcome, CallOutcome::NotSent { .. }) {
        match relayed.retry_after {
            Some(retry_after) => {
                progress.retry_after = Some(retry_after);
                progress.full_keepers.push(keeper.address);
                note_contended(shared, &plan.service, "a keeper without room");
            }
            None => progress.lost_keepers += 1,
        }
        return NextStep::Retry;
    }
    progress.retry_after = relayed.retry_after.or(progress.retry_after);
    let key = shared.state.borrow().endpoints.find(endpoint);
    progress.tried.extend(key);
    let target = AttemptTarget::Edge(keeper.address);
    progress.record(shared, plan, target, relayed.outcome)
}

/// Records what an outcome says of the keeper and of the endpoint behind it.
fn note_outcome(
    shared: &EdgeShared,
    keeper: &RelayPeer,
    (endpoint, order): (EndpointTag, LeadOrder),
    relayed: &RelayOutcome,
) {
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    let label = match &relayed.outcome {
        CallOutcome::NotSent { .. } if relayed.retry_after.is_some() => "full",
        CallOutcome::NotSent { .. } => "unreachable",
        CallOutcome::Full(_) | CallOutcome::Events(_) => "answered",
        CallOutcome::NotRun { .. } | CallOutcome::Misdirected => "not_run",
        CallOutcome::Lost { .. } | CallOutcome::TimedOut | CallOutcome::NoResponse => "unknown",
    };
    metrics::counter!(metric_names::LED_REQUESTS, "outcome" => label).increment(1);
    match &relayed.outcome {
        CallOutcome::NotSent { .. } => match relayed.retry_after {
            Some(retry_after) => {
                let retry_after = Some(retry_after);
                state
                    .keepers
                    .note_full(keeper.address, order, retry_after, now);
            }
            None => state.keepers.note_lost(keeper.address, now),
        },
        CallOutcome::Lost { kind, .. } if *kind != LossKind::Unusable => {
            state.keepers.note_lost(keeper.address, now);
        }
        _ => {}
    }
    let Some(key) = state.endpoints.find(endpoint) else {
        return;
    };
    let load = state.load_mut(key);
    match &relayed.outcome {
        CallOutcome::Full(response) if response.status.is_server_error() => {
            load.note_bad_response(now);
        }
        CallOutcome::Full(_) | CallOutcome::Events(_) => load.note_success(now),
        _ => {}
    }
}
