//! Completion of requests: responses, logs and metrics.

use std::time::Duration;

use hyper::{
    Response,
    StatusCode, //
};
use ragwortroad_dispatch::prelude::*;
use ragwortroad_telemetry::prelude::*;
use rand::RngExt;

use crate::{
    crash_watch::explain_blame,
    customer_flow::customer_of_tag,
    edge_body::EdgeBody,
    edge_state::EdgeShared,
    endpoint_call::FullResponse,
    endpoint_choice::ChosenEndpoint,
    gate_permit::charged_customer,
    refusal_reason::RefusalReason,
    refusal_response::refusal_response,
    relay_head::RelayVerdict,
    request_plan::RequestPlan,
    request_progress::RequestProgress, //
};

/// Minimum and maximum delay after which a refused client may retry, in milliseconds.
///
/// The delay is random, so that clients refused together do not retry together.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (80, 240);

/// Delay for clients refused because no edge reaches an endpoint, within which the return of the
/// endpoints is noticed.
const CUT_OFF_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Forwards a complete response to the client.
pub(crate) fn forward_response(
    plan: &RequestPlan,
    progress: &RequestProgress,
    chosen: Option<&ChosenEndpoint>,
    waited: Duration,
    upstream: FullResponse,
) -> Response<EdgeBody> {
    let reason = match upstream.status.is_server_error() {
        true => "endpoint_failed",
        false => "",
    };
    count_request(kind_label(plan), "answered", reason);
    record_response(plan, chosen);
    tracing::info!(
        request = plan.id,
        outcome = "answered",
        route = plan.rule().name,
        customer = plan.customer_name(),
        status = upstream.status.as_u16(),
        endpoint = chosen.map(|chosen| chosen.name.as_str()),
        load = chosen.map(|chosen| chosen.load),
        load_age_ms = chosen.and_then(ChosenEndpoint::load_age_ms),
        time_percent = chosen.map(ChosenEndpoint::time_percent),
        version = plan.map.config().version,
        attempts = progress.attempts,
        relayed = plan.relay.is_some(),
        waited_ms = waited.as_millis() as u64,
        took_ms = plan.received_at.elapsed().as_millis() as u64,
        "request over"
    );
    let mut response = Response::new(EdgeBody::full(upstream.body));
    *response.status_mut() = upstream.status;
    *response.headers_mut() = upstream.headers;
    response.extensions_mut().insert(RelayVerdict::Answered);
    response
}

/// Responds to a request to which no endpoint has responded.
pub(crate) fn refuse(
    shared: &EdgeShared,
    plan: &RequestPlan,
    progress: &RequestProgress,
    reason: RefusalReason,
) -> Response<EdgeBody> {
    // A refusal that claims "not run" must hold for every attempt, not just the last one.
    let claims_not_run = matches!(
        reason,
        RefusalReason::Overload
            | RefusalReason::NotRun
            | RefusalReason::NoEndpoint
            | RefusalReason::Resting
            | RefusalReason::UnknownVersion
            | RefusalReason::Stopping
    );
    let reason = match claims_not_run && progress.may_have_run {
        true => RefusalReason::Unknown,
        false => reason,
    };
    count_request(kind_label(plan), "refused", reason.label());
    if reason == RefusalReason::Overload {
        log_overload(shared, plan);
    }
    // A version that is gone does not come back.
    let is_final = reason == RefusalReason::UnknownVersion;
    let retry_after = claims_not_run && !progress.may_have_run && !is_final;
    let own_retry_after = || match reason {
        RefusalReason::Overload => overload_retry_after(shared, plan),
        RefusalReason::NoEndpoint if progress.is_relaying => cut_off_retry_after(),
        _ => rest_left(shared, plan).unwrap_or_default() + short_retry_after(),
    };
    let retry_after = retry_after.then(|| progress.retry_after.unwrap_or_else(own_retry_after));
    let is_quarantine = reason == RefusalReason::Quarantined;
    let content = is_quarantine.then(|| plan.digest());
    let blamed = is_quarantine.then(|| explain_blame(shared, plan)).flatten();
    tracing::info!(
        request = plan.id,
        outcome = "refused",
        route = plan.rule().name,
        customer = plan.customer_name(),
        rank = plan.map.rank(plan.route, plan.customer),
        ?reason,
        content = content.map(tracing::field::display),
        blamed,
        version = plan.map.config().version,
        attempts = progress.attempts,
        dials = progress.failed_dials,
        come_back_ms = retry_after.map(|delay| delay.as_millis() as u64),
        took_ms = plan.received_at.elapsed().as_millis() as u64,
        "request over"
    );
    let verdict = match (reason.status(), progress.attempts) {
        (StatusCode::SERVICE_UNAVAILABLE, 0) => RelayVerdict::NotSent,
        (StatusCode::SERVICE_UNAVAILABLE, _) => RelayVerdict::NotRun,
        _ => RelayVerdict::Unknown,
    };
    let mut response = refusal_response(reason, retry_after);
    response.extensions_mut().insert(verdict);
    response
}

/// Metric label for the kind of a request.
pub(crate) fn kind_label(plan: &RequestPlan) -> &'static str {
    match plan.rule().kind {
        RequestKind::Safe => "safe",
        RequestKind::Unsafe => "unsafe",
        RequestKind::Stream => "stream",
    }
}

/// Counts a completed request.
pub(crate) fn count_request(kind: &'static str, outcome: &'static str, reason: &'static str) {
    let labels = [("kind", kind), ("outcome", outcome), ("reason", reason)];
    metrics::counter!(metric_names::REQUESTS, &labels).increment(1);
}

/// Records the response time, and the load and cache state that were assumed for the endpoint.
pub(crate) fn record_response(plan: &RequestPlan, chosen: Option<&ChosenEndpoint>) {
    let kind = kind_label(plan);
    let latency = plan.received_at.elapsed();
    metrics::histogram!(metric_names::ANSWER_SECONDS, "kind" => kind).record(latency);
    let Some(chosen) = chosen else {
        return;
    };
    metrics::histogram!(metric_names::BELIEVED_LOAD).record(chosen.load);
    if !plan.metadata.prompt_parts.is_empty() {
        let held = if chosen.holds_prefix { "yes" } else { "no" };
        metrics::counter!(metric_names::TEXT_PLACES, "held" => held).increment(1);
    }
}

/// Logs the inputs of the decision to refuse a request because of overload.
fn log_overload(shared: &EdgeShared, plan: &RequestPlan) {
    let now = shared.now();
    let state = shared.state.borrow();
    let Some(gate) = state.gates.get(&plan.service) else {
        return;
    };
    let loads_received_at = state.loads_received_at;
    let gate = gate.gate();
    let level = gate.shares().map(|shares| shares.level);
    let customer = charged_customer(&shared.settings.mechanisms, plan.customer_name());
    let standing = customer.map(|customer| gate.customer_standing(customer, now));
    let fleet_use = customer.and_then(|customer| state.fleet_use(&plan.service, customer));
    let largest = standing.and_then(|standing| standing.largest);
    let largest = largest.and_then(|largest| customer_of_tag(plan.map.config(), largest));
    if let Some(name) = plan.customer_name().filter(|_| customer.is_some()) {
        let labels = [
            ("service", plan.service.clone()),
            ("customer", name.to_owned()),
        ];
        metrics::counter!(metric_names::CUSTOMER_REFUSALS, &labels).increment(1);
    }
    tracing::info!(
        request = plan.id,
        service = plan.service,
        rank = plan.map.rank(plan.route, plan.customer),
        route_rank = plan.rule().rank,
        limit = Some(gate.limit().ceil() as u32).filter(|_| gate.limit().is_finite()),
        under_way = gate.in_flight(),
        waiting = gate.waiting(),
        customer = plan.customer_name(),
        customer_running = standing.map(|standing| standing.running),
        customer_wanted = standing.map(|standing| standing.wanted),
        customer_use = standing.map(|standing| standing.relative_use),
        fleet_running = fleet_use.map(|fleet_use| fleet_use.running),
        fleet_wanted = fleet_use.map(|fleet_use| fleet_use.wanted),
        customer_level = level,
        largest_customer = largest,
        largest_use = standing.map(|standing| standing.largest_use),
        shedding_ms = gate.shedding_duration(now).as_millis() as u64,
        load_age_ms = loads_received_at
            .map(|loads_received_at| now.since(loads_received_at).as_millis() as u64),
        "request refused by the admission gate"
    );
}

/// Delay until the load is expected to drop, for a client refused because of overload.
fn overload_retry_after(shared: &EdgeShared, plan: &RequestPlan) -> Duration {
    let state = shared.state.borrow();
    let gate = state.gates.get(&plan.service);
    let shedding = gate.map_or(Duration::ZERO, |gate| {
        gate.gate().shedding_duration(shared.now())
    });
    let time_left = plan.metadata.time_left.unwrap_or(plan.rule().timeout);
    if !shared.settings.mechanisms.long_return {
        return short_retry_after();
    }
    retry_after_delay(shedding, time_left, rand::random())
}

/// Time until the first endpoint takes requests again; `None` unless all of them want a rest.
pub(crate) fn rest_left(shared: &EdgeShared, plan: &RequestPlan) -> Option<Duration> {
    let state = shared.state.borrow();
    state.rest_left(&plan.service, shared.now())
}

/// Delay until the edge may reach endpoints again, for clients refused because no edge does.
fn cut_off_retry_after() -> Duration {
    CUT_OFF_RETRY_AFTER + short_retry_after()
}

/// Short random delay, for clients refused for reasons other than load.
pub(crate) fn short_retry_after() -> Duration {
    let (min, max) = RETRY_AFTER_RANGE_MS;
    Duration::from_millis(rand::rng().random_range(min..=max))
}
