//! Relays requests to other edges while this edge has lost contact with a service.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request,
    StatusCode,
    body::Incoming,
    header::RETRY_AFTER, //
};
use ragwortroad_dispatch::prelude::*;
use ragwortroad_http::prelude::*;
use ragwortroad_telemetry::prelude::*;
use tokio::time::{
    Instant,
    sleep,
    timeout_at, //
};

use crate::{
    edge_state::EdgeShared,
    endpoint_call::{
        CallOutcome,
        EventStream,
        FullResponse,
        LossKind,
        forwarded_headers,
        read_whole,
        return_connection,
        send_request,
        unusable_response, //
    },
    endpoint_connection::EndpointConnection,
    relay_head::{
        RelayHead,
        RelayVerdict,
        take_version, //
    },
    request_plan::RequestPlan,
    request_reading::STARTUP_POLL_INTERVAL, //
};

/// Number of edges that are asked to take one request.
const MAX_TRIED_PEERS: usize = 3;

/// Longest time for which a request waits until a registry has named edges that take it.
const PEERS_WAIT: Duration = Duration::from_millis(200);

/// Result of relaying a request to one edge.
pub(crate) struct RelayOutcome {
    pub(crate) outcome: CallOutcome,
    /// When the client may come back, if the edge refused the request.
    pub(crate) retry_after: Option<Duration>,
}

impl From<CallOutcome> for RelayOutcome {
    fn from(outcome: CallOutcome) -> Self {
        Self {
            outcome,
            retry_after: None,
        }
    }
}

/// Whether requests of the plan's service go to another edge.
///
/// A request that another edge has relayed is never relayed again.
pub(crate) fn needs_relay(shared: &EdgeShared, plan: &RequestPlan) -> bool {
    may_relay(shared, plan)
        && shared
            .state
            .borrow()
            .service_reach
            .is_cut_off(&plan.service)
}

/// Whether a request may go to another edge at all.
pub(crate) fn may_relay(shared: &EdgeShared, plan: &RequestPlan) -> bool {
    shared.settings.mechanisms.relay && plan.relay.is_none()
}

/// Selects an edge that has not been tried yet; waits for the registry's answer if it is due.
pub(crate) async fn next_peer(shared: &EdgeShared, tried: &[SocketAddr]) -> Option<RelayPeer> {
    if tried.len() >= MAX_TRIED_PEERS {
        return None;
    }
    let wait_until = Instant::now() + PEERS_WAIT;
    loop {
        {
            let mut state = shared.state.borrow_mut();
            let peer = state.relay_peers.take_next(tried);
            if peer.is_some() || !state.relay_peers.is_awaited() {
                return peer;
            }
        }
        if Instant::now() >= wait_until {
            return None;
        }
        sleep(STARTUP_POLL_INTERVAL).await;
    }
}

/// Relays a request to an edge and waits for its complete response or for the head of an event
/// stream; `led_to` is the endpoint for which the edge is its keeper.
pub(crate) async fn call_peer(
    shared: &Rc<EdgeShared>,
    plan: &RequestPlan,
    peer: &RelayPeer,
    last_event_id: Option<u64>,
    led_to: Option<EndpointTag>,
) -> RelayOutcome {
    let call = exchange(shared, plan, peer, last_event_id, led_to);
    let relayed = match timeout_at(plan.deadline, call).await {
        Ok(relayed) => relayed,
        Err(_) => CallOutcome::TimedOut.into(),
    };
    let outcome = match &relayed.outcome {
        CallOutcome::Full(_) | CallOutcome::Events(_) => "answered",
        CallOutcome::NotSent { .. } => "not_sent",
        CallOutcome::NotRun { .. } | CallOutcome::Misdirected => "not_run",
        CallOutcome::Lost { .. } | CallOutcome::TimedOut | CallOutcome::NoResponse => "unknown",
    };
    if led_to.is_none() {
        metrics::counter!(metric_names::RELAYED_REQUESTS, "outcome" => outcome).increment(1);
    }
    let is_led = led_to.map(|_| true);
    tracing::info!(request = plan.id, edge = %peer.address, outcome, is_led, "request relayed");
    if matches!(&relayed.outcome, CallOutcome::NotSent { .. }) && led_to.is_none() {
        shared
            .state
            .borrow_mut()
            .relay_peers
            .note_refused(peer.address, shared.now());
    }
    relayed
}

async fn exchange(
    shared: &Rc<EdgeShared>,
    plan: &RequestPlan,
    peer: &RelayPeer,
    last_event_id: Option<u64>,
    led_to: Option<EndpointTag>,
) -> RelayOutcome {
    let build = || {
        let head = RelayHead {
            key: peer.key,
            time_left: plan.deadline.saturating_duration_since(Instant::now()),
            config_version: plan.map.config().version,
            last_event_id,
            version: plan.version.get(),
            led_to,
        };
        build_request(plan, &head)
    };
    let (connection, response) = match send_request(shared, peer.address, None, build).await {
        Ok(sent) => sent,
        Err(outcome) => return outcome.into(),
    };
    let framing = match BodyFraming::of_response(&plan.method, &response) {
        // Edges frame what they relay.
        Ok(framing) if framing.marks_end() => framing,
        Ok(_) => return unusable_response("an edge does not mark the end of a body").into(),
        Err(error) => return unusable_response(&error.to_string()).into(),
    };
    let (mut head, body) = response.into_parts();
    let verdict = RelayVerdict::take(&mut head.headers);
    let version = take_version(&mut head.headers);
    let metadata = (shared.port.parse_response)(head.status, &head.headers);
    let retry_after = head.headers.get(RETRY_AFTER);
    let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
    let retry_after = retry_after.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    let headers = forwarded_headers(head.headers, framing);
    let is_stream = head.status.is_success() && metadata.is_event_stream;
    if verdict == RelayVerdict::Answered && is_stream {
        return CallOutcome::Events(Box::new(EventStream {
            status: head.status,
            headers,
            body,
            metadata,
            connection,
            address: peer.address,
            version,
            ends_with_connection: false,
            run: None,
            guard: None,
        }))
        .into();
    }
    let body: Result<Bytes, CallOutcome> = read_peer_body(shared, &connection, body, verdict).await;
    let body = match body {
        Ok(body) => body,
        Err(outcome) => return outcome.into(),
    };
    return_connection(shared, peer.address, connection, &metadata);
    let reason = || format!("edge {} refused: {}", peer.address, head.status);
    let outcome = match verdict {
        RelayVerdict::Answered | RelayVerdict::Denied => CallOutcome::Full(FullResponse {
            status: head.status,
            headers,
            body,
        }),
        RelayVerdict::NotSent => CallOutcome::NotSent {
            reason: reason(),
            is_timeout: false,
        },
        RelayVerdict::NotRun => CallOutcome::NotRun { rest: None },
        RelayVerdict::Unknown if head.status == StatusCode::GATEWAY_TIMEOUT => {
            CallOutcome::TimedOut
        }
        RelayVerdict::Unknown => CallOutcome::Lost {
            reason: reason(),
            kind: LossKind::Unusable,
        },
    };
    RelayOutcome {
        outcome,
        retry_after,
    }
}

/// Reads the body of an edge's response.
///
/// A refusal that breaks off after its head has said what became of the request.
async fn read_peer_body(
    shared: &EdgeShared,
    connection: &EndpointConnection,
    body: Incoming,
    verdict: RelayVerdict,
) -> Result<Bytes, CallOutcome> {
    match read_whole(shared, connection, body, None).await {
        Ok(body) => Ok(body),
        Err(_) if matches!(verdict, RelayVerdict::NotSent | RelayVerdict::NotRun) => {
            Ok(Bytes::new())
        }
        Err(outcome) => Err(outcome),
    }
}

fn build_request(
    plan: &RequestPlan,
    head: &RelayHead,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut request = Request::builder()
        .method(plan.method.clone())
        .uri(plan.uri.clone())
        .body(Full::new(plan.body.clone()))?;
    let mut headers = plan.headers.clone();
    head.write(&mut headers);
    *request.headers_mut() = headers;
    Ok(request)
}
