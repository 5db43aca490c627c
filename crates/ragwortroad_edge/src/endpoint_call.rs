//! One request at one endpoint.

use std::{
    net::SocketAddr,
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
    body::Incoming, //
};
use tokio::time::{
    Instant,
    timeout_at, //
};

use crate::{
    ForwardMetadata,
    ResponseMetadata,
    edge_state::EdgeShared,
    endpoint_choice::ChosenEndpoint,
    endpoint_connection::{
        EndpointConnection,
        SendFailure,
        is_silence, //
    },
    flight_guard::FlightGuard,
    request_plan::{
        RequestPlan,
        strip_connection, //
    }, //
};

/// What became of a request at an endpoint.
pub(crate) enum CallEnd {
    /// Nothing reached it.
    NotSent { reason: String, is_silent: bool },
    /// It says that it did not run the request.
    NotRun,
    /// Another endpoint has its address, and did not run the request.
    Misdirected,
    /// It may have run the request, and no usable answer came.
    Lost { reason: String, is_silent: bool },
    /// The time is over.
    TimedOut,
    /// It has not begun to answer in time, and another endpoint is asked.
    Silent,
    /// An answer came in full.
    Whole(WholeAnswer),
    /// Events are coming.
    Events(Box<EventAnswer>),
}

/// An answer that is there.
pub(crate) struct WholeAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// A stream of events that has begun.
pub(crate) struct EventAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
    pub(crate) facts: ResponseMetadata,
    pub(crate) connection: EndpointConnection,
    pub(crate) address: SocketAddr,
    pub(crate) guard: FlightGuard,
}

/// Sends a request to an endpoint and waits for its answer, or for a stream's beginning.
pub(crate) async fn call_endpoint(
    shared: &Rc<EdgeShared>,
    plan: &RequestPlan,
    chosen: &ChosenEndpoint,
    last_event_id: Option<u64>,
) -> CallEnd {
    let guard = FlightGuard::new(shared, chosen.key);
    let calling = exchange(shared, plan, chosen, last_event_id, guard);
    let begun = Instant::now();
    let end = match timeout_at(plan.deadline, calling).await {
        Ok(end) => end,
        Err(_) => CallEnd::TimedOut,
    };
    note_end(shared, chosen, &end);
    note_time(shared, plan, &end, begun.elapsed());
    end
}

async fn exchange(
    shared: &Rc<EdgeShared>,
    plan: &RequestPlan,
    chosen: &ChosenEndpoint,
    last_event_id: Option<u64>,
    guard: FlightGuard,
) -> CallEnd {
    let mut pooled = shared.pool.take(chosen.address, shared.now());
    loop {
        let was_pooled = pooled.is_some();
        let mut connection = match pooled.take() {
            Some(connection) => connection,
            None => match EndpointConnection::open(chosen.address).await {
                Ok(connection) => connection,
                Err(error) => {
                    return CallEnd::NotSent {
                        reason: error.to_string(),
                        is_silent: is_silence(&error),
                    };
                }
            },
        };
        let request = match make_request(shared, plan, chosen, last_event_id) {
            Ok(request) => request,
            Err(error) => {
                return CallEnd::NotSent {
                    reason: error.to_string(),
                    is_silent: false,
                };
            }
        };
        match connection.send(request).await {
            Ok(answer) => {
                return read_answer(shared, plan, chosen, connection, answer, guard).await;
            }
            // The endpoint closed a kept connection before anything was sent on it.
            Err(SendFailure::NotSent) if was_pooled => {}
            Err(SendFailure::NotSent) => {
                return CallEnd::NotSent {
                    reason: "closed before the request".to_owned(),
                    is_silent: false,
                };
            }
            Err(SendFailure::Lost(error)) => {
                return CallEnd::Lost {
                    reason: format!("{error} (kept connection: {was_pooled})"),
                    is_silent: is_silence(&error),
                };
            }
        }
    }
}

fn make_request(
    shared: &EdgeShared,
    plan: &RequestPlan,
    chosen: &ChosenEndpoint,
    last_event_id: Option<u64>,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut request = Request::builder()
        .method(plan.method.clone())
        .uri(plan.target.clone())
        .body(Full::new(plan.body.clone()))?;
    let customer = plan.customer;
    let mechanisms = &shared.settings.mechanisms;
    let sending = ForwardMetadata {
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
    (shared.port.rewrite_headers)(&mut headers, &sending);
    *request.headers_mut() = headers;
    Ok(request)
}

async fn read_answer(
    shared: &Rc<EdgeShared>,
    plan: &RequestPlan,
    chosen: &ChosenEndpoint,
    connection: EndpointConnection,
    answer: Response<Incoming>,
    guard: FlightGuard,
) -> CallEnd {
    let (head, body) = answer.into_parts();
    let facts = (shared.port.parse_response)(head.status, &head.headers);
    if facts.id.as_deref().is_some_and(|id| id != plan.id) {
        // An answer that belongs to another request, late on a kept connection. Handed over, a
        // caller would get what is another customer's.
        return spoiled("the answer names another request");
    }
    if let Some(load) = facts.load {
        let now = shared.now();
        let mut state = shared.state.borrow_mut();
        state.load_mut(chosen.key).note_reading(load, now);
    }
    if facts.is_misdirected {
        keep_connection(shared, chosen.address, connection, &facts);
        return CallEnd::Misdirected;
    }
    let is_success = head.status.is_success();
    if is_success && (!facts.is_signed || facts.is_encoded || facts.id.is_none()) {
        return spoiled("a success without the endpoint's signature");
    }
    let mut headers = head.headers;
    strip_connection(&mut headers);
    if is_success && facts.is_event_stream {
        return CallEnd::Events(Box::new(EventAnswer {
            status: head.status,
            headers,
            body,
            facts,
            connection,
            address: chosen.address,
            guard,
        }));
    }
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            return CallEnd::Lost {
                reason: format!("the answer broke off: {error}"),
                is_silent: is_silence(&error),
            };
        }
    };
    keep_connection(shared, chosen.address, connection, &facts);
    if facts.is_not_run {
        return CallEnd::NotRun;
    }
    CallEnd::Whole(WholeAnswer {
        status: head.status,
        headers,
        body,
    })
}

/// An answer that cannot be used.
fn spoiled(reason: &str) -> CallEnd {
    CallEnd::Lost {
        reason: reason.to_owned(),
        is_silent: false,
    }
}

/// Gives a connection back whose answer was read in full.
pub(crate) fn keep_connection(
    shared: &EdgeShared,
    address: SocketAddr,
    mut connection: EndpointConnection,
    facts: &ResponseMetadata,
) {
    if !facts.is_closing {
        connection.is_reused = true;
        let now = shared.now();
        shared
            .pool
            .keep(address, connection, facts.keep_alive_timeout, now);
    }
}

/// Remembers how the endpoint did.
pub(crate) fn note_end(shared: &EdgeShared, chosen: &ChosenEndpoint, end: &CallEnd) {
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    if matches!(end, CallEnd::Misdirected) {
        state.endpoints.mark_replaced(chosen.key, now);
    }
    let load = state.load_mut(chosen.key);
    match end {
        CallEnd::NotSent { .. } | CallEnd::Misdirected => load.note_failure(now),
        CallEnd::Lost { .. } | CallEnd::TimedOut | CallEnd::Silent => load.note_bad_answer(now),
        CallEnd::Whole(answer) if answer.status.is_server_error() => load.note_bad_answer(now),
        CallEnd::Whole(_) | CallEnd::Events(_) => load.note_success(now),
        CallEnd::NotRun => {}
    }
    drop(state);
    note_reach(shared, chosen, end);
}

/// Remembers whether the endpoint's failure domain can be reached.
fn note_reach(shared: &EdgeShared, chosen: &ChosenEndpoint, end: &CallEnd) {
    match end {
        CallEnd::NotSent { is_silent, .. } | CallEnd::Lost { is_silent, .. } => {
            match is_silent {
                true => shared.note_silent(&chosen.zone, chosen.key),
                false => shared.note_reached(&chosen.zone),
            };
        }
        CallEnd::NotRun | CallEnd::Misdirected | CallEnd::Whole(_) | CallEnd::Events(_) => {
            shared.note_reached(&chosen.zone);
        }
        CallEnd::TimedOut | CallEnd::Silent => {}
    }
}

/// Tells the service's gate how long an endpoint took.
///
/// One that refuses is as full as one that is too late.
fn note_time(shared: &EdgeShared, plan: &RequestPlan, end: &CallEnd, took: Duration) {
    let target = plan.rule().target;
    let took = match end {
        CallEnd::Whole(answer) if !answer.status.is_server_error() => took,
        CallEnd::NotRun | CallEnd::TimedOut => took.max(target),
        _ => return,
    };
    if !shared.settings.mechanisms.plain_limit {
        return;
    }
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    if let Some(gate) = state.gates.get_mut(&plan.service) {
        gate.note_answer(took, target, now);
    }
}
