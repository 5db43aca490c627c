//! How a request ends: what its caller is answered, what the lines and metrics tell of it.

use std::time::Duration;

use hyper::Response;
use ragwortroad_dispatch::prelude::*;
use ragwortroad_telemetry::prelude::*;
use rand::RngExt;

use crate::{
    edge_body::EdgeBody,
    edge_state::EdgeShared,
    endpoint_call::WholeAnswer,
    endpoint_choice::ChosenEndpoint,
    gate_pass::GatePass,
    refusal_answer::refusal_answer,
    refusal_reason::RefusalReason,
    request_plan::RequestPlan,
    request_way::RequestWay, //
};

/// Shortest and longest time after which a refused caller may come back.
///
/// Spread, so that callers refused together do not return together.
const COME_BACK_MS: (u64, u64) = (80, 240);

/// Hands a whole answer over.
pub(crate) fn hand_over(
    plan: &RequestPlan,
    way: &RequestWay,
    chosen: &ChosenEndpoint,
    pass: &GatePass,
    answer: WholeAnswer,
) -> Response<EdgeBody> {
    let reason = match answer.status.is_server_error() {
        true => "endpoint_failed",
        false => "",
    };
    count_request(kind_label(plan), "answered", reason);
    note_answer(plan, chosen);
    tracing::info!(
        request = plan.id,
        outcome = "answered",
        route = plan.rule().name,
        status = answer.status.as_u16(),
        endpoint = chosen.name,
        load = chosen.load,
        load_age_ms = chosen.load_age_ms(),
        version = plan.map.config().version,
        attempts = way.attempts,
        waited_ms = pass.waited.as_millis() as u64,
        took_ms = plan.came_at.elapsed().as_millis() as u64,
        "request over"
    );
    let mut response = Response::new(EdgeBody::whole(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}

/// Answers a request that no endpoint has answered.
pub(crate) fn refuse(
    shared: &EdgeShared,
    plan: &RequestPlan,
    way: &RequestWay,
    reason: RefusalReason,
) -> Response<EdgeBody> {
    // A refusal that says "not run" must be true of every attempt, not just of the last one.
    let is_promise = matches!(
        reason,
        RefusalReason::Overload | RefusalReason::NotRun | RefusalReason::NoEndpoint
    );
    let reason = match is_promise && way.may_have_run {
        true => RefusalReason::Unknown,
        false => reason,
    };
    count_request(kind_label(plan), "refused", reason.label());
    if reason == RefusalReason::Overload {
        note_overload(shared, plan);
    }
    let again = is_promise && !way.may_have_run;
    let again = again.then(|| match reason {
        RefusalReason::Overload => when_less(shared, plan),
        _ => come_back(),
    });
    tracing::info!(
        request = plan.id,
        outcome = "refused",
        route = plan.rule().name,
        ?reason,
        version = plan.map.config().version,
        attempts = way.attempts,
        dials = way.dials,
        come_back_ms = again.map(|span| span.as_millis() as u64),
        took_ms = plan.came_at.elapsed().as_millis() as u64,
        "request over"
    );
    refusal_answer(reason, again)
}

/// The kind of a request, for metrics.
pub(crate) fn kind_label(plan: &RequestPlan) -> &'static str {
    match plan.rule().kind {
        RequestKind::Safe => "safe",
        RequestKind::Unsafe => "unsafe",
        RequestKind::Stream => "stream",
    }
}

/// Counts a request that is over.
pub(crate) fn count_request(kind: &'static str, outcome: &'static str, reason: &'static str) {
    let labels = [("kind", kind), ("outcome", outcome), ("reason", reason)];
    metrics::counter!(metric_names::REQUESTS, &labels).increment(1);
}

/// Notes how long an answer took, and what was believed of the endpoint that gave it.
pub(crate) fn note_answer(plan: &RequestPlan, chosen: &ChosenEndpoint) {
    let kind = kind_label(plan);
    let took = plan.came_at.elapsed();
    metrics::histogram!(metric_names::ANSWER_SECONDS, "kind" => kind).record(took);
    metrics::histogram!(metric_names::BELIEVED_LOAD).record(chosen.load);
    if !plan.facts.prompt_parts.is_empty() {
        let held = if chosen.holds_text { "yes" } else { "no" };
        metrics::counter!(metric_names::TEXT_PLACES, "held" => held).increment(1);
    }
}

/// Says what decided that a request was refused for load.
fn note_overload(shared: &EdgeShared, plan: &RequestPlan) {
    let now = shared.now();
    let state = shared.state.borrow();
    let Some(gate) = state.gates.get(&plan.service) else {
        return;
    };
    let told_at = state.loads_at;
    let gate = gate.gate();
    tracing::info!(
        request = plan.id,
        service = plan.service,
        rank = plan.map.rank(plan.route, plan.customer),
        route_rank = plan.rule().rank,
        limit = gate.limit().ceil() as u32,
        under_way = gate.in_flight(),
        waiting = gate.waiting(),
        shedding_ms = gate.shedding_duration(now).as_millis() as u64,
        load_age_ms = told_at.map(|told_at| now.since(told_at).as_millis() as u64),
        "no room at the gate"
    );
}

/// When there will be less to do, for a caller that was refused for that.
fn when_less(shared: &EdgeShared, plan: &RequestPlan) -> Duration {
    let state = shared.state.borrow();
    let gate = state.gates.get(&plan.service);
    let shedding = gate.map_or(Duration::ZERO, |gate| {
        gate.gate().shedding_duration(shared.now())
    });
    let patience = plan.facts.time_left.unwrap_or(plan.rule().timeout);
    if !shared.settings.mechanisms.long_return {
        return come_back();
    }
    retry_after_delay(shedding, patience, rand::random())
}

/// A short time, for callers whose refusal has nothing to do with the load.
pub(crate) fn come_back() -> Duration {
    let (least, most) = COME_BACK_MS;
    Duration::from_millis(rand::rng().random_range(least..=most))
}
