//! Handling of one client request, from its head to its response.

use std::{
    convert::Infallible,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use hyper::{
    Method,
    Request,
    Response,
    StatusCode,
    body::Incoming,
    header::{
        CONNECTION,
        HeaderValue, //
    }, //
};
use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use tokio::time::{
    Instant,
    sleep, //
};

use crate::{
    body_discard::discard_body,
    client_body::ClientBody,
    client_session::ClientSession,
    crash_watch::{
        is_doubtful,
        is_quarantined, //
    },
    edge_body::EdgeBody,
    edge_state::EdgeShared,
    endpoint_call::{
        BODILESS,
        CallOutcome,
        record_outcome, //
    },
    endpoint_choice::{
        ChosenEndpoint,
        choose_endpoint, //
    },
    gate_permit::{
        GatePermit,
        acquire_permit, //
    },
    keeper_call::{
        LeadStep,
        choose_lead,
        lead_request,
        leave_own_gate, //
    },
    late_call::{
        LateCall,
        attempt_beside,
        finish_late, //
    },
    refusal_reason::RefusalReason,
    refusal_response::refusal_response,
    refused_request::RefusedRequest,
    relay_call::{
        call_peer,
        may_relay,
        needs_relay,
        next_peer, //
    },
    relay_head::{
        RelayHead,
        RelayVerdict,
        write_version, //
    },
    request_completion::{
        count_request,
        forward_response,
        kind_label,
        record_response,
        refuse,
        rest_left,
        short_retry_after, //
    },
    request_counter::RequestCounter,
    request_plan::RequestPlan,
    request_progress::{
        AttemptTarget,
        NextStep,
        RequestProgress, //
    },
    request_reading::{
        STARTUP_POLL_INTERVAL,
        read_plan, //
    },
    scarce_services::{
        accept_led,
        note_contended, //
    },
    shutdown_time::outlasts_shutdown,
    silence_check::check_silence,
    stream_body::StreamBody, //
};

/// Handles one request of a client.
pub(crate) async fn handle_request(
    shared: Rc<EdgeShared>,
    session: Rc<ClientSession>,
    mut request: Request<Incoming>,
) -> Result<Response<ClientBody>, Infallible> {
    let mut counter = RequestCounter::new(&shared);
    let is_head = request.method() == Method::HEAD;
    let relay = RelayHead::take(request.headers_mut(), shared.relay_key);
    let is_relayed = relay.is_some();
    let (head, mut body) = request.into_parts();
    let request = Request::from_parts(head, ());
    let (mut response, refused) =
        match read_plan(&shared, &session, request, &mut body, relay).await {
            Ok(plan) => (forward_request(&shared, Rc::new(plan)).await, None),
            Err(refused) => (refuse_unread(&shared, &refused), Some(refused)),
        };
    if let Some(verdict) = response.extensions_mut().remove::<RelayVerdict>()
        && is_relayed
    {
        verdict.write(response.headers_mut());
    }
    counter.is_transferred = matches!(response.body(), EdgeBody::Stream(_));
    let has_body = !is_head && !BODILESS.contains(&response.status());
    let held = if has_body {
        response.body().held_bytes()
    } else {
        0
    };
    session.update(|transfer| transfer.begin_response(held, shared.now()));
    if shared.state.borrow().stage == EdgeStage::Draining {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    if let Some(refused) = refused {
        discard_body(&shared, body, refused, counter);
    }
    Ok(response.map(|body| ClientBody::new(body, session)))
}

/// Responds to a request that was not read completely or has no route.
fn refuse_unread(shared: &EdgeShared, refused: &RefusedRequest) -> Response<EdgeBody> {
    let RefusedRequest { reason, id, .. } = refused;
    let reason = *reason;
    tracing::info!(request = id, outcome = "refused", ?reason, "request over");
    count_request("unread", "refused", reason.label());
    let retry_after = match reason {
        RefusalReason::Starting => Some(time_to_ready(shared.uptime()) + short_retry_after()),
        RefusalReason::Stopping | RefusalReason::NoMemory | RefusalReason::Overload => {
            Some(short_retry_after())
        }
        _ => None,
    };
    let mut response = refusal_response(reason, retry_after);
    let verdict = match reason.status() {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::REQUEST_TIMEOUT => RelayVerdict::NotSent,
        _ => RelayVerdict::Denied,
    };
    response.extensions_mut().insert(verdict);
    response
}

/// Forwards a request until an endpoint responds or it must be refused.
async fn forward_request(shared: &Rc<EdgeShared>, plan: Rc<RequestPlan>) -> Response<EdgeBody> {
    let mut progress = RequestProgress::default();
    if is_quarantined(shared, &plan) {
        return refuse(shared, &plan, &progress, RefusalReason::Quarantined);
    }
    if rest_left(shared, &plan).is_some() {
        return refuse(shared, &plan, &progress, RefusalReason::Resting);
    }
    if plan.relay.is_none() {
        deposit_retry(shared, &plan);
    }
    accept_led(shared, &plan);
    let mut permit = None;
    let mut late_call = None;
    loop {
        // An earlier attempt, or another edge, may have seen the last crash in the meantime.
        let is_repeat = progress.may_have_run;
        if is_quarantined(shared, &plan) || (is_repeat && is_doubtful(shared, &plan)) {
            return refuse(shared, &plan, &progress, RefusalReason::Quarantined);
        }
        // It may have waited since it was read.
        if progress.attempts == 0 && outlasts_shutdown(shared, plan.rule(), plan.deadline) {
            return refuse(shared, &plan, &progress, RefusalReason::Stopping);
        }
        progress.is_relaying |= needs_relay(shared, &plan);
        let lead = match progress.is_relaying {
            true => LeadStep::Here,
            false => choose_lead(shared, &plan, &mut progress),
        };
        let attempted = if progress.is_relaying {
            // The edge that takes the request counts it.
            permit = None;
            let attempt = relay_request(shared, &plan, &mut progress);
            attempt_beside(&mut late_call, attempt).await
        } else if let LeadStep::Keeper(keeper, endpoint) = lead {
            permit = None;
            let attempt = lead_request(shared, &plan, &mut progress, (keeper, endpoint));
            attempt_beside(&mut late_call, attempt).await
        } else if matches!(lead, LeadStep::Full) {
            log_full(&plan, &progress);
            Ok(NextStep::Refuse(RefusalReason::Overload))
        } else {
            // A repeat takes the place of an attempt that has ended, here or through a keeper.
            let needs_permit = permit.is_none() && progress.attempts == 0;
            if needs_permit {
                permit = acquire_permit(shared, &plan).await;
                if permit.as_ref().is_none_or(GatePermit::has_queued) {
                    note_contended(shared, &plan.service, "a queue at the gate");
                }
            }
            if needs_permit && permit.is_none() {
                if leave_own_gate(shared, &mut progress) {
                    continue;
                }
                return refuse(shared, &plan, &progress, RefusalReason::Overload);
            }
            if needs_permit && outlasts_shutdown(shared, plan.rule(), plan.deadline) {
                return refuse(shared, &plan, &progress, RefusalReason::Stopping);
            }
            let attempt = try_endpoint(shared, &plan, &mut progress);
            attempt_beside(&mut late_call, attempt).await
        };
        late_call = progress.late_call.take().or(late_call);
        let falls_back = |next_step: &NextStep| {
            matches!(next_step, NextStep::Refuse(RefusalReason::NoEndpoint))
                && !progress.is_relaying
                && progress.failed_dials > 0
                && may_relay(shared, &plan)
        };
        let next_step = match attempted {
            Ok(next_step) if falls_back(&next_step) => {
                progress.is_relaying = true;
                continue;
            }
            Ok(NextStep::Refuse(reason)) => match finish_late(shared, late_call.take()).await {
                Some(late) => progress.take_late(late),
                None => NextStep::Refuse(reason),
            },
            Ok(next_step) => next_step,
            Err(late) => progress.take_late(late),
        };
        let waited = permit
            .as_ref()
            .map_or(Duration::ZERO, |permit| permit.waited);
        let chosen = progress.chosen.as_ref();
        match next_step {
            NextStep::Retry => {}
            NextStep::Refuse(reason) => return refuse(shared, &plan, &progress, reason),
            NextStep::Respond(response) => {
                return forward_response(&plan, &progress, chosen, waited, response);
            }
            NextStep::Stream(upstream) => {
                log_stream(&plan, &progress, waited);
                let mut response = Response::new(EdgeBody::full(Bytes::new()));
                *response.status_mut() = upstream.status;
                *response.headers_mut() = upstream.headers.clone();
                response.extensions_mut().insert(RelayVerdict::Answered);
                if let Some(version) = upstream.version.filter(|_| plan.relay.is_some()) {
                    write_version(response.headers_mut(), version);
                }
                let (tried, attempts) = (progress.tried, progress.attempts);
                let stream = StreamBody::new(shared, plan, upstream, tried, attempts, permit);
                *response.body_mut() = EdgeBody::Stream(Box::new(stream));
                return response;
            }
        }
    }
}

/// Sends a request to the next endpoint, and waits for one that has yet to announce itself.
async fn try_endpoint(
    shared: &Rc<EdgeShared>,
    plan: &Rc<RequestPlan>,
    progress: &mut RequestProgress,
) -> NextStep {
    // Endpoints announce themselves again once registries are up.
    let time_left = plan.deadline.saturating_duration_since(plan.received_at);
    let may_ever_wait = progress.tried.is_empty() && plan.relay.is_none();
    let wait_until = plan.received_at + shared.start_wait(time_left);
    loop {
        let may_wait = may_ever_wait && Instant::now() < wait_until;
        // If the clients of a whole second were all sent to the first engines that announced
        // themselves, these would compute all prefixes again, and each client would wait two
        // seconds.
        let waits_for_holder = shared.settings.mechanisms.holder_wait && may_wait;
        if waits_for_holder && awaits_holder(shared, plan) {
            sleep(STARTUP_POLL_INTERVAL).await;
            continue;
        }
        let Some(chosen) = choose_endpoint(shared, plan, &progress.tried) else {
            if rest_left(shared, plan).is_some() {
                return NextStep::Refuse(RefusalReason::Resting);
            }
            if may_wait {
                sleep(STARTUP_POLL_INTERVAL).await;
                continue;
            }
            return NextStep::Refuse(match is_version_gone(shared, plan) {
                true => RefusalReason::UnknownVersion,
                false => RefusalReason::NoEndpoint,
            });
        };
        progress.tried.push(chosen.key);
        let outcome = await_endpoint(shared, plan, progress, &chosen).await;
        let next_step = progress.record(shared, plan, AttemptTarget::Endpoint(&chosen), outcome);
        progress.chosen = Some(chosen);
        return next_step;
    }
}

/// Whether the stream is bound to a software version that no endpoint runs any more.
fn is_version_gone(shared: &EdgeShared, plan: &RequestPlan) -> bool {
    let state = shared.state.borrow();
    plan.version.get().is_some_and(|version| {
        let mut available = state.available_endpoints(&plan.service);
        !available.any(|(_, endpoint)| endpoint.version == Some(version))
    })
}

/// Relays a request to another edge.
async fn relay_request(
    shared: &Rc<EdgeShared>,
    plan: &Rc<RequestPlan>,
    progress: &mut RequestProgress,
) -> NextStep {
    progress.chosen = None;
    let Some(peer) = next_peer(shared, &progress.tried_peers).await else {
        return NextStep::Refuse(RefusalReason::NoEndpoint);
    };
    progress.tried_peers.push(peer.address);
    let mut shutdown_imminent = shared.shutdown_imminent.subscribe();
    // The sender lives as long as the edge, so this completes only on shutdown.
    let shutdown_notice = shutdown_imminent.wait_for(|is_imminent| *is_imminent);
    let relayed = tokio::select! {
        relayed = call_peer(shared, plan, &peer, plan.metadata.last_event_id, None) => relayed,
        _ = shutdown_notice => CallOutcome::TimedOut.into(),
    };
    progress.retry_after = relayed.retry_after.or(progress.retry_after);
    if matches!(relayed.outcome, CallOutcome::NotSent { .. }) {
        return NextStep::Retry;
    }
    let target = AttemptTarget::Edge(peer.address);
    let next_step = progress.record(shared, plan, target, relayed.outcome);
    if matches!(next_step, NextStep::Retry) {
        progress.tried_peers.clear();
    }
    next_step
}

fn log_full(plan: &RequestPlan, progress: &RequestProgress) {
    tracing::info!(
        request = plan.id,
        service = plan.service,
        customer = plan.customer_name(),
        asked = progress.full_keepers.len(),
        "no keeper has room for a request"
    );
}

fn log_stream(plan: &RequestPlan, progress: &RequestProgress, waited: Duration) {
    let chosen = progress.chosen.as_ref();
    let source = chosen.and_then(|chosen| chosen.prefix_source.as_ref());
    count_request(kind_label(plan), "stream", "");
    record_response(plan, chosen);
    tracing::info!(
        request = plan.id,
        outcome = "stream",
        route = plan.rule().name,
        customer = plan.customer_name(),
        endpoint = chosen.map(|chosen| chosen.name.as_str()),
        software = chosen.map(|chosen| chosen.software.as_str()),
        after_event = plan.metadata.last_event_id,
        resumes = plan.metadata.resumes.as_deref(),
        load = chosen.map(|chosen| chosen.load),
        load_age_ms = chosen.and_then(ChosenEndpoint::load_age_ms),
        time_percent = chosen.map(ChosenEndpoint::time_percent),
        version = plan.map.config().version,
        among = chosen.map(|chosen| chosen.candidate_count),
        text = plan.metadata.shared_prefix(),
        tokens = plan.metadata.shared_prefix_tokens(),
        holds_text = chosen.map(|chosen| chosen.holds_prefix),
        text_from = source.map(|source| source.name.as_str()),
        attempts = progress.attempts,
        relayed = plan.relay.is_some(),
        waited_ms = waited.as_millis() as u64,
        took_ms = plan.received_at.elapsed().as_millis() as u64,
        "request answered"
    );
}

/// Waits for an endpoint's response, unless trying another endpoint is better for the client.
async fn await_endpoint(
    shared: &Rc<EdgeShared>,
    plan: &Rc<RequestPlan>,
    progress: &mut RequestProgress,
    chosen: &ChosenEndpoint,
) -> CallOutcome {
    let time_left = plan.deadline.saturating_duration_since(Instant::now());
    let response_timeout = first_byte_timeout(plan.rule().target, time_left);
    let mut shutdown_imminent = shared.shutdown_imminent.subscribe();
    // The sender lives as long as the edge, so this completes only on shutdown.
    let shutdown_notice = shutdown_imminent.wait_for(|is_imminent| *is_imminent);
    let mut call = LateCall::new(shared, plan, chosen);
    tokio::pin!(shutdown_notice);
    tokio::select! {
        late = call.wait() => return late.outcome,
        _ = &mut shutdown_notice => return CallOutcome::TimedOut,
        () = sleep(response_timeout) => {}
    }
    check_silence(shared, chosen.key);
    let is_enabled = shared.settings.mechanisms.silence && !is_shedding(shared, plan);
    if is_enabled && progress.may_abandon(shared, plan) {
        record_outcome(shared, chosen, &CallOutcome::NoResponse);
        progress.late_call = Some(call);
        return CallOutcome::NoResponse;
    }
    tokio::select! {
        late = call.wait() => late.outcome,
        _ = shutdown_notice => CallOutcome::TimedOut,
    }
}

/// Whether requests for the same service were recently refused because of overload.
///
/// In that case a late first event means that the engines are overloaded, and a second attempt
/// would take the slot of a client that is refused instead.
fn is_shedding(shared: &EdgeShared, plan: &RequestPlan) -> bool {
    let state = shared.state.borrow();
    let gate = state.gates.get(&plan.service);
    gate.is_some_and(|gate| gate.gate().is_shedding(shared.now()))
}

/// Whether the engine that caches the request's prefix has yet to announce itself.
fn awaits_holder(shared: &EdgeShared, plan: &RequestPlan) -> bool {
    let prefix = plan.metadata.shared_prefix();
    let state = shared.state.borrow();
    prefix.is_some_and(|prefix| state.awaits_holder(prefix, shared.now()))
}

fn deposit_retry(shared: &EdgeShared, plan: &RequestPlan) {
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    let edges = state.edges;
    let budget = state.budget_mut(&plan.service, &shared.settings, now);
    budget.deposit(edges, now);
}
