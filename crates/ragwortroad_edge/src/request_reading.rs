//! Reads a client request and resolves its route.

use std::{
    cell::{
        Cell,
        OnceCell, //
    },
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    LengthLimitError,
    Limited, //
};
use hyper::{
    Request,
    Uri,
    body::Incoming, //
};
use ragwortroad_dispatch::prelude::*;
use ragwortroad_http::prelude::*;
use tokio::time::{
    Instant,
    sleep,
    timeout_at, //
};

use crate::{
    RequestMetadata,
    body_room::push_chunk,
    client_session::ClientSession,
    edge_state::EdgeShared,
    open_request::OpenRequest,
    refusal_reason::RefusalReason,
    refused_request::RefusedRequest,
    relay_head::RelayHead,
    request_plan::{
        RequestPlan,
        RequestTarget,
        find_target, //
    },
    scarce_services::may_lead,
    shutdown_time::can_finish_before_shutdown,
    stream_origins::find_version, //
};

/// Poll interval of a request that waits for a starting edge; each poll costs a wake-up.
pub(crate) const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Timeout of a request without a deadline of its own.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Reads a request completely and resolves its route, customer and service.
///
/// A refusal may leave a part of `body` unread.
pub(crate) async fn read_plan(
    shared: &EdgeShared,
    session: &ClientSession,
    request: Request<()>,
    body: &mut Incoming,
    relay: Option<RelayHead>,
) -> Result<RequestPlan, RefusedRequest> {
    let received_at = Instant::now();
    let mut metadata = (shared.port.parse_request)(request.headers());
    if let Some(relay) = &relay {
        metadata.time_left = Some(relay.time_left);
        metadata.last_event_id = relay.last_event_id;
    }
    let metadata = metadata;
    let time_left = metadata.time_left.unwrap_or(DEFAULT_TIMEOUT);
    let refused = |reason| RefusedRequest {
        reason,
        id: metadata.id.clone(),
        client_deadline: received_at + time_left,
    };
    let version = shared.state.borrow().version();
    session.open_request(OpenRequest::new(metadata.id.clone(), version));
    let current_map = shared.state.borrow().map.clone();
    // A body that is read before the route is known.
    let (map, early_body) = match current_map {
        Some(map) => (map, None),
        None if relay.is_some() => return Err(refused(RefusalReason::Starting)),
        None => {
            let loaded = await_config(shared, session, time_left, body, received_at).await;
            let (map, early_body) = loaded.map_err(refused)?;
            (map, Some(early_body))
        }
    };
    let is_behind = |relay: &RelayHead| relay.config_version > map.config().version;
    if relay.as_ref().is_some_and(is_behind) {
        return Err(refused(RefusalReason::Starting));
    }
    // The gate has room for what its keeper is led, or refuses it.
    let is_led = may_lead(&shared.settings.mechanisms)
        && relay.as_ref().is_some_and(|relay| relay.led_to.is_some());
    if relay.is_some() && !is_led && !shared.state.borrow().takes_relayed() {
        return Err(refused(RefusalReason::Overload));
    }
    let target = find_target(&map, &request, &metadata).map_err(refused)?;
    let rule = map.route(target.route);
    let deadline = received_at + time_left.min(rule.timeout);
    if !can_finish_before_shutdown(shared, rule, deadline) {
        return Err(refused(RefusalReason::Stopping));
    }
    let service = map.draw_target(target.route, rand::random()).to_owned();
    let limit = map.config().limits.max_body_bytes;
    let body = match early_body {
        None => read_body(shared, session, body, limit, deadline).await,
        Some(body) if body.len() > limit => Err(RefusalReason::TooLarge),
        Some(body) => Ok(body),
    };
    let body = body.map_err(refused)?;
    let version = match &relay {
        Some(relay) => Ok(relay.version),
        None => find_resumed(shared, &map, &target, &metadata, &service, deadline).await,
    };
    let version = version.map_err(refused)?;
    let service = service_of(rule, version).map_or(service, str::to_owned);
    let (mut parts, ()) = request.into_parts();
    strip_hop_by_hop(&mut parts.headers);
    let path = parts.uri.path_and_query().cloned();
    Ok(RequestPlan {
        route: target.route,
        customer: target.customer,
        service,
        metadata: RequestMetadata {
            api_key: None,
            ..metadata
        },
        id: target.id,
        method: parts.method,
        uri: path.map_or(parts.uri, Uri::from),
        headers: parts.headers,
        body,
        relay,
        received_at,
        deadline,
        version: Cell::new(version),
        digest: OnceCell::new(),
        suspects: OnceCell::new(),
        map,
    })
}

/// Finds the software version at which a stream that the client takes up again must go on; `None`
/// if the request begins a stream.
async fn find_resumed(
    shared: &EdgeShared,
    map: &RouteMap,
    target: &RequestTarget,
    metadata: &RequestMetadata,
    service: &str,
    deadline: Instant,
) -> Result<Option<VersionTag>, RefusalReason> {
    let rule = map.route(target.route);
    let is_resumed = metadata.resumes.is_some() || metadata.last_event_id.is_some();
    if !is_resumed || !rule.is_resumable {
        return Ok(None);
    }
    let customer = target.customer.and_then(|key| map.customer_name(key));
    let attempt = metadata.resumes.as_deref();
    let stream = attempt.map(|attempt| StreamKey::of(customer, attempt));
    let version = find_version(shared, stream, service, deadline).await;
    version.map(Some).ok_or(RefusalReason::UnknownVersion)
}

/// The service of a route whose endpoints run a version.
fn service_of(rule: &RouteRule, version: Option<VersionTag>) -> Option<&str> {
    let targets = rule.targets.iter().map(|target| target.service.as_str());
    let service = version?.service;
    targets
        .into_iter()
        .find(|target| ServiceTag::of(target) == service)
}

/// Waits for the first configuration while the edge is starting; returns it and the body.
///
/// The body is read first, because clients take an edge that does not read for a dead one.
async fn await_config(
    shared: &EdgeShared,
    session: &ClientSession,
    time_left: Duration,
    body: &mut Incoming,
    received_at: Instant,
) -> Result<(Rc<RouteMap>, Bytes), RefusalReason> {
    let wait_until = received_at + shared.start_wait(time_left);
    let limit = ClientLimits::default().max_body_bytes;
    let body = read_body(shared, session, body, limit, received_at + time_left).await?;
    loop {
        let current_map = shared.state.borrow().map.clone();
        if let Some(map) = current_map {
            return Ok((map, body));
        }
        if Instant::now() >= wait_until {
            return Err(RefusalReason::Starting);
        }
        sleep(STARTUP_POLL_INTERVAL).await;
    }
}

async fn read_body(
    shared: &EdgeShared,
    session: &ClientSession,
    body: &mut Incoming,
    limit: usize,
    deadline: Instant,
) -> Result<Bytes, RefusalReason> {
    let mut body = Limited::new(body, limit);
    let mut held = shared.bodies.hold();
    session.update(|transfer| transfer.begin_request(shared.now()));
    loop {
        let frame = match timeout_at(deadline, body.frame()).await {
            Ok(None) => {
                session.update(ClientTransfer::finish_request);
                return Ok(held.into_bytes());
            }
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) if error.is::<LengthLimitError>() => {
                return Err(RefusalReason::TooLarge);
            }
            Ok(Some(Err(error))) => {
                tracing::debug!(%error, "request body incomplete");
                return Err(RefusalReason::CutBody);
            }
            Err(_) => return Err(RefusalReason::SlowBody),
        };
        if let Ok(chunk) = frame.into_data() {
            let length = chunk.len();
            let pushed = push_chunk(shared, &mut held, chunk, Some(session.key)).await;
            pushed.map_err(|_| RefusalReason::NoMemory)?;
            session.update(|transfer| transfer.note_received(length, shared.now()));
        }
    }
}
