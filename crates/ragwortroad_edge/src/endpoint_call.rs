//! A single attempt to send a request to an endpoint.

use std::{
    net::{
        IpAddr,
        SocketAddr, //
    },
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    HeaderMap,
    Request,
    Response,
    StatusCode,
    body::Incoming,
    header::CONTENT_LENGTH, //
};
use ragwortroad_dispatch::prelude::*;
use ragwortroad_http::prelude::*;
use ragwortroad_telemetry::prelude::*;
use tokio::time::{
    Instant,
    timeout_at, //
};

use crate::{
    ForwardMetadata,
    ResponseMetadata,
    body_room::push_chunk,
    crash_check::{
        CrashCheck,
        CrashedRun,
        outlives_response, //
    },
    crash_watch::{
        observe_completion,
        observe_writing, //
    },
    edge_state::{
        EdgeShared,
        EdgeState, //
    },
    endpoint_choice::ChosenEndpoint,
    endpoint_connection::{
        EndpointConnection,
        SendFailure,
        is_invalid_data,
        is_timeout_error, //
    },
    in_flight_guard::InFlightGuard,
    partial_body::PartialBody,
    request_plan::RequestPlan,
    run_clock::RunClock, //
};

/// Time for which a brittle endpoint that had no room gets no request from this edge.
///
/// The other edges may hit its bound in the same second.
const BRITTLE_REST: Duration = Duration::from_secs(1);

/// Statuses of responses whose body is never sent.
pub(crate) const BODILESS: [StatusCode; 2] = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];

/// Outcome of an attempt at an endpoint.
pub(crate) enum CallOutcome {
    /// The request did not reach the endpoint.
    NotSent { reason: String, is_timeout: bool },
    /// The endpoint states that it did not run the request, and may want no further one for a time.
    NotRun { rest: Option<Duration> },
    /// Another endpoint has this address now, and it did not run the request.
    Misdirected,
    /// The endpoint may have run the request, but there is no usable response.
    Lost { reason: String, kind: LossKind },
    /// The deadline passed.
    TimedOut,
    /// The endpoint did not start to respond in time, and another one is tried.
    NoResponse,
    /// A complete response.
    Full(FullResponse),
    /// An event stream has started.
    Events(Box<EventStream>),
}

/// How a request was lost at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LossKind {
    /// The endpoint's VM sent no packet at all in return.
    Silent,
    /// The connection was closed.
    Closed,
    /// The endpoint responded, but the response cannot be used.
    Unusable,
}

impl LossKind {
    fn of(error: &hyper::Error) -> Self {
        let is_unusable = error.is_parse() || is_invalid_data(error);
        match (is_timeout_error(error), is_unusable) {
            (true, _) => Self::Silent,
            (false, true) => Self::Unusable,
            (false, false) => Self::Closed,
        }
    }
}

/// A response whose body was received completely.
pub(crate) struct FullResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// A started event stream whose body is still being received.
pub(crate) struct EventStream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
    pub(crate) metadata: ResponseMetadata,
    pub(crate) connection: EndpointConnection,
    pub(crate) address: SocketAddr,
    /// Software version of the endpoint; `None` if it is unknown.
    pub(crate) version: Option<VersionTag>,
    /// Whether only the end of the connection tells that the stream is complete.
    pub(crate) ends_with_connection: bool,
    /// Measures the run; `None` if another edge relays the stream.
    pub(crate) run: Option<RunClock>,
    /// Counts the request at the endpoint; `None` if another edge relays the stream.
    pub(crate) guard: Option<InFlightGuard>,
}

impl EventStream {
    /// The endpoint that sends the stream; `None` if another edge relays it.
    pub(crate) fn endpoint(&self) -> Option<EndpointKey> {
        self.guard.as_ref().map(InFlightGuard::key)
    }
}

/// Sends a request to an endpoint and waits for the complete response or for the head of an event
/// stream.
pub(crate) async fn call_endpoint(
    shared: &Rc<EdgeShared>,
    plan: &RequestPlan,
    chosen: &ChosenEndpoint,
    last_event_id: Option<u64>,
) -> CallOutcome {
    let guard = InFlightGuard::new(shared, chosen.key);
    let call = exchange(shared, plan, chosen, last_event_id, guard);
    let started_at = Instant::now();
    let outcome = match timeout_at(plan.deadline, call).await {
        Ok(outcome) => outcome,
        Err(_) => CallOutcome::TimedOut,
    };
    record_outcome(shared, chosen, &outcome);
    record_latency(shared, plan, &outcome, started_at.elapsed());
    record_speed(shared, plan, chosen, &outcome, started_at.elapsed());
    match &outcome {
        // An error may have been returned in place of a run.
        CallOutcome::Full(response) if response.status.is_success() => {
            observe_completion(shared, plan);
            observe_writing(shared, plan, shared.now());
        }
        CallOutcome::Lost { kind, .. } if *kind != LossKind::Silent => {
            let run = CrashedRun::suspect(plan, false);
            let check = CrashCheck::start(shared, run, chosen.key);
            check.settle().await;
        }
        _ => {}
    }
    outcome
}

async fn exchange(
    shared: &Rc<EdgeShared>,
    plan: &RequestPlan,
    chosen: &ChosenEndpoint,
    last_event_id: Option<u64>,
    guard: InFlightGuard,
) -> CallOutcome {
    let started_at = Instant::now();
    let source = shared.settings.endpoint_source;
    let build = || build_request(shared, plan, chosen, last_event_id);
    match send_request(shared, chosen.address, source, build).await {
        Ok((connection, response)) => {
            let run = RunClock::new(chosen, started_at);
            read_response(shared, plan, chosen, connection, response, run, guard).await
        }
        Err(outcome) => outcome,
    }
}

/// Sends a request on a pooled connection or a new one, and returns the head of the response.
pub(crate) async fn send_request(
    shared: &EdgeShared,
    address: SocketAddr,
    source: Option<IpAddr>,
    build: impl Fn() -> Result<Request<Full<Bytes>>, hyper::http::Error>,
) -> Result<(EndpointConnection, Response<Incoming>), CallOutcome> {
    let not_sent = |reason: String, is_timeout| CallOutcome::NotSent { reason, is_timeout };
    let mut pooled_connection = shared.pool.take(address, shared.now());
    loop {
        let was_pooled = pooled_connection.is_some();
        let mut connection = match pooled_connection.take() {
            Some(connection) => connection,
            None => EndpointConnection::open(address, source)
                .await
                .map_err(|error| not_sent(error.to_string(), is_timeout_error(&error)))?,
        };
        let request = build().map_err(|error| not_sent(error.to_string(), false))?;
        match connection.send(request).await {
            Ok(response) => return Ok((connection, response)),
            // The endpoint closed a pooled connection before the request was sent; opens a new one.
            Err(SendFailure::NotSent) if was_pooled => {}
            Err(SendFailure::NotSent) => {
                let reason = "connection closed before the request was sent";
                return Err(not_sent(reason.to_owned(), false));
            }
            Err(SendFailure::Lost(error)) => {
                return Err(CallOutcome::Lost {
                    reason: format!("{error} (reused connection: {was_pooled})"),
                    kind: LossKind::of(&error),
                });
            }
        }
    }
}

/// Reads the body of a response; its bytes count for `unsized_of`, an endpoint that has not announced
/// the length.
pub(crate) async fn read_whole(
    shared: &EdgeShared,
    connection: &EndpointConnection,
    mut body: Incoming,
    unsized_of: Option<EndpointKey>,
) -> Result<Bytes, CallOutcome> {
    let mut held = shared.bodies.hold();
    let mut partial = unsized_of.map(|endpoint| PartialBody::new(shared, endpoint));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| CallOutcome::Lost {
            reason: format!("response body incomplete: {error}"),
            kind: LossKind::of(&error),
        })?;
        if let Ok(chunk) = frame.into_data() {
            connection.note_part();
            let fits = |partial: &mut PartialBody<'_>| partial.grow(chunk.len());
            if !partial.as_mut().is_none_or(fits) {
                metrics::counter!(metric_names::OVERSIZED_RESPONSES, "form" => "body").increment(1);
                return Err(unusable_response(
                    "a body without a length exceeds the limit",
                ));
            }
            let pushed = push_chunk(shared, &mut held, chunk, None).await;
            pushed.map_err(|error| unusable_response(&error.to_string()))?;
        }
    }
    Ok(held.into_bytes())
}

fn build_request(
    shared: &EdgeShared,
    plan: &RequestPlan,
    chosen: &ChosenEndpoint,
    last_event_id: Option<u64>,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut request = Request::builder()
        .method(plan.method.clone())
        .uri(plan.uri.clone())
        .body(Full::new(plan.body.clone()))?;
    let customer = plan.customer;
    let mechanisms = &shared.settings.mechanisms;
    let metadata = ForwardMetadata {
        time_left: plan.deadline.saturating_duration_since(Instant::now()),
        endpoint: &chosen.name,
        customer: customer.and_then(|key| plan.map.customer_name(key)),
        rank: mechanisms
            .engine_ranks
            .then(|| plan.map.rank(plan.route, customer)),
        last_event_id,
        prefix_source: chosen.prefix_source.as_ref().map(|source| source.address),
    };
    let mut headers = plan.headers.clone();
    (shared.port.rewrite_headers)(&mut headers, &metadata);
    *request.headers_mut() = headers;
    Ok(request)
}

async fn read_response(
    shared: &Rc<EdgeShared>,
    plan: &RequestPlan,
    chosen: &ChosenEndpoint,
    connection: EndpointConnection,
    response: Response<Incoming>,
    run: RunClock,
    guard: InFlightGuard,
) -> CallOutcome {
    let framing = match BodyFraming::of_response(&plan.method, &response) {
        Ok(framing) => framing,
        Err(error) => return unusable_response(&error.to_string()),
    };
    let (head, body) = response.into_parts();
    let mut metadata = (shared.port.parse_response)(head.status, &head.headers);
    let ends_with_connection = !framing.marks_end();
    metadata.is_closing |= ends_with_connection;
    let metadata = metadata;
    if metadata.is_ambiguous {
        return unusable_response("response carries several request ids or signatures");
    }
    if metadata.id.as_deref().is_some_and(|id| id != plan.id) {
        // A late response to an earlier request on a reused connection. Forwarding it could expose
        // another customer's data.
        return unusable_response("response carries another request id");
    }
    if let Some(load) = metadata.load {
        let now = shared.now();
        let mut state = shared.state.borrow_mut();
        state.load_mut(chosen.key).note_reading(load, now);
        let percent = load
            .time_percent
            .filter(|_| shared.settings.mechanisms.endpoint_speeds);
        if let Some(figure) = percent.and_then(|percent| TimeFigure::new(percent, now)) {
            let tag = EndpointTag::of(&chosen.name);
            state.speeds.note_heard(tag, figure);
        }
    }
    if metadata.is_misdirected {
        return_connection(shared, chosen.address, connection, &metadata);
        return CallOutcome::Misdirected;
    }
    note_wishes(shared, chosen, &metadata);
    let is_success = head.status.is_success();
    let headers = forwarded_headers(head.headers, framing);
    if is_success {
        // `Connection` may have named headers that the client needs.
        let forwarded = (shared.port.parse_response)(head.status, &headers);
        if !forwarded.is_signed || metadata.is_encoded || forwarded.id.is_none() {
            let reason = "successful response is unsigned, encoded or without request id";
            return unusable_response(reason);
        }
    }
    if is_success && metadata.is_event_stream {
        return CallOutcome::Events(Box::new(EventStream {
            status: head.status,
            headers,
            body,
            metadata,
            connection,
            address: chosen.address,
            version: chosen.version,
            ends_with_connection,
            run: Some(run),
            guard: Some(guard),
        }));
    }
    let unsized_of = (!framing.announces_length()).then_some(chosen.key);
    let body = match read_whole(shared, &connection, body, unsized_of).await {
        Ok(body) => body,
        Err(outcome) => return outcome,
    };
    if ends_with_connection && !outlives_response(shared, chosen.key).await {
        return CallOutcome::Lost {
            reason: "the endpoint ended with its response".to_owned(),
            kind: LossKind::Closed,
        };
    }
    return_connection(shared, chosen.address, connection, &metadata);
    if metadata.is_not_run {
        let rest = metadata.rest;
        return CallOutcome::NotRun { rest };
    }
    CallOutcome::Full(FullResponse {
        status: head.status,
        headers,
        body,
    })
}

/// Headers of a response for the next hop, where it is framed anew by the body that is sent.
pub(crate) fn forwarded_headers(mut headers: HeaderMap, framing: BodyFraming) -> HeaderMap {
    strip_hop_by_hop(&mut headers);
    headers.remove(CONTENT_LENGTH);
    if let BodyFraming::Bodiless { described_length } = framing {
        headers.extend(described_length.map(|length| (CONTENT_LENGTH, length.into())));
    }
    headers
}

/// Records what an endpoint wants of this edge: a rest, or no new request at all.
fn note_wishes(shared: &EdgeShared, chosen: &ChosenEndpoint, metadata: &ResponseMetadata) {
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    let EdgeState {
        endpoints,
        rests,
        brittle,
        ..
    } = &mut *state;
    if brittle.note(&chosen.service, metadata.brittle_limit) {
        let limit = metadata.brittle_limit;
        tracing::info!(
            service = chosen.service,
            limit,
            "endpoints changed how brittle they are"
        );
    }
    let record = endpoints.record(chosen.key);
    let is_rejected = metadata.is_not_run && metadata.brittle_limit.is_some();
    let rest = metadata.rest.or(is_rejected.then_some(BRITTLE_REST));
    if let Some((record, rest)) = record.zip(rest) {
        rests.note_rest(record.incarnation(), rest, now);
    }
    if metadata.is_leaving && endpoints.mark_leaving(chosen.key) {
        tracing::info!(
            endpoint = chosen.name,
            "endpoint leaves, as it says in a response"
        );
    }
}

/// Outcome for a response that cannot be used.
pub(crate) fn unusable_response(reason: &str) -> CallOutcome {
    CallOutcome::Lost {
        reason: reason.to_owned(),
        kind: LossKind::Unusable,
    }
}

/// Returns a connection to the pool after its response was read in full.
pub(crate) fn return_connection(
    shared: &EdgeShared,
    address: SocketAddr,
    mut connection: EndpointConnection,
    metadata: &ResponseMetadata,
) {
    if !metadata.is_closing {
        connection.is_reused = true;
        let now = shared.now();
        shared
            .pool
            .keep(address, connection, metadata.keep_alive_timeout, now);
    }
}

/// Records the outcome in the endpoint's health and in the reachability of its failure domain.
pub(crate) fn record_outcome(shared: &EdgeShared, chosen: &ChosenEndpoint, outcome: &CallOutcome) {
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    if matches!(outcome, CallOutcome::Misdirected) {
        state.endpoints.mark_replaced(chosen.key, now);
    }
    let load = state.load_mut(chosen.key);
    match outcome {
        CallOutcome::NotSent { .. } | CallOutcome::Misdirected => load.note_failure(now),
        CallOutcome::Lost { .. } | CallOutcome::TimedOut | CallOutcome::NoResponse => {
            load.note_bad_response(now)
        }
        CallOutcome::Full(response) if response.status.is_server_error() => {
            load.note_bad_response(now)
        }
        CallOutcome::Full(_) | CallOutcome::Events(_) => load.note_success(now),
        CallOutcome::NotRun { .. } => {}
    }
    drop(state);
    record_reachability(shared, chosen, outcome);
}

/// Records whether the endpoint's failure domain and its service are reachable.
fn record_reachability(shared: &EdgeShared, chosen: &ChosenEndpoint, outcome: &CallOutcome) {
    match outcome {
        CallOutcome::NotSent { is_timeout, .. } => {
            match is_timeout {
                true => shared.note_silent(&chosen.zone, chosen.key),
                false => shared.note_reached(&chosen.zone),
            }
            shared.note_lost(chosen.key);
        }
        CallOutcome::Lost { kind, .. } => match kind {
            LossKind::Silent => {
                shared.note_silent(&chosen.zone, chosen.key);
                shared.note_lost(chosen.key);
            }
            LossKind::Closed => {
                shared.note_reached(&chosen.zone);
                shared.note_suspected(chosen.key);
            }
            LossKind::Unusable => {
                shared.note_reached(&chosen.zone);
                shared.note_contact(&chosen.service);
            }
        },
        CallOutcome::TimedOut | CallOutcome::NoResponse => shared.note_suspected(chosen.key),
        CallOutcome::NotRun { .. }
        | CallOutcome::Misdirected
        | CallOutcome::Full(_)
        | CallOutcome::Events(_) => {
            shared.note_reached(&chosen.zone);
            shared.note_contact(&chosen.service);
        }
    }
}

/// Reports the response time to the service's gate.
///
/// A rejection indicates as much overload as a response that is too late.
fn record_latency(
    shared: &EdgeShared,
    plan: &RequestPlan,
    outcome: &CallOutcome,
    latency: Duration,
) {
    let target = plan.rule().target;
    let latency = match outcome {
        CallOutcome::Full(response) if !response.status.is_server_error() => latency,
        CallOutcome::NotRun { .. } | CallOutcome::TimedOut => latency.max(target),
        _ => return,
    };
    if !shared.settings.mechanisms.plain_limit {
        return;
    }
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    if let Some(gate) = state.gates.get_mut(&plan.service) {
        gate.record_response(latency, target, now);
    }
}

/// Learns from the response time of a plain call how long calls of its route take, and the lasting speed
/// of its endpoint.
fn record_speed(
    shared: &EdgeShared,
    plan: &RequestPlan,
    chosen: &ChosenEndpoint,
    outcome: &CallOutcome,
    latency: Duration,
) {
    let mechanisms = &shared.settings.mechanisms;
    let is_plain = plan.rule().kind != RequestKind::Stream;
    let is_run = matches!(outcome, CallOutcome::Full(response) if response.status.is_success());
    if !is_plain || !is_run || !mechanisms.learns_runs() {
        return;
    }
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    let name = &plan.rule().name;
    state.run_times_mut(name).note_call(latency);
    if mechanisms.endpoint_speeds {
        let tag = EndpointTag::of(&chosen.name);
        state.speeds.note_run(name, tag, latency, now);
    }
}
