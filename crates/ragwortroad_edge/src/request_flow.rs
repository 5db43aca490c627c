//! One request of a caller, from its head to its answer.

use std::{
    convert::Infallible,
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
    Response,
    Uri,
    body::Incoming,
    header::{
        CONNECTION,
        HeaderValue, //
    }, //
};
use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_telemetry::prelude::*;
use rand::RngExt;
use tokio::time::{
    Instant,
    sleep,
    timeout_at, //
};

use crate::{
    RequestFacts,
    edge_body::EdgeBody,
    edge_state::EdgeShared,
    endpoint_call::{
        CallEnd,
        WholeAnswer,
        call_endpoint, //
    },
    endpoint_choice::{
        ChosenEndpoint,
        choose_endpoint, //
    },
    refusal_answer::{
        RefusalReason,
        refusal_answer, //
    },
    request_plan::{
        RequestPlan,
        find_target,
        strip_connection, //
    },
    stream_body::StreamBody, //
};

/// Endpoints that are dialled in vain before a request is refused.
///
/// A failure to connect costs up to the connect timeout; a caller is better served by a refusal
/// that names a time than by a third wait.
const MAX_DIALS: u32 = 3;

/// Longest time for which a request without a deadline of its own is kept.
const DEFAULT_TIME: Duration = Duration::from_secs(60);

/// Time in which nearly all streams end: some hundred tokens at some ten milliseconds each.
const STREAM_TIME: Duration = Duration::from_millis(4600);

/// Time in which nearly all answers of plain services are there.
const ANSWER_TIME: Duration = Duration::from_millis(1200);

/// Shortest and longest time after which a refused caller may come back.
///
/// Spread, so that callers refused together do not return together.
const COME_BACK_MS: (u64, u64) = (80, 240);

/// Time between two looks of a request that waits for a starting edge; each costs a wake-up.
const START_POLL: Duration = Duration::from_millis(25);

/// Answers one request.
pub(crate) async fn answer_caller(
    shared: Rc<EdgeShared>,
    request: Request<Incoming>,
) -> Result<Response<EdgeBody>, Infallible> {
    {
        let now = shared.now();
        let mut state = shared.state.borrow_mut();
        state.in_flight += 1;
        state.end_sooner_at = now;
    }
    let mut counted = InFlight {
        shared: Rc::clone(&shared),
        is_handed_over: false,
    };
    let mut answer = match read_plan(&shared, request).await {
        Ok(plan) => pass_on(&shared, Rc::new(plan)).await,
        Err((reason, id)) => {
            tracing::info!(request = id, outcome = "refused", ?reason, "request over");
            count_request("unread", "refused", reason.label());
            let again = match reason {
                RefusalReason::Starting => Some(start_left(shared.running()) + come_back()),
                RefusalReason::Stopping => Some(come_back()),
                _ => None,
            };
            refusal_answer(reason, again)
        }
    };
    counted.is_handed_over = matches!(answer.body(), EdgeBody::Stream(_));
    if shared.state.borrow().stage == EdgeStage::Draining {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    Ok(answer)
}

/// Counts a request as under way until its answer is there, or its stream counts itself.
struct InFlight {
    shared: Rc<EdgeShared>,
    is_handed_over: bool,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if !self.is_handed_over {
            self.shared.state.borrow_mut().in_flight -= 1;
        }
    }
}

/// Reads a request in full and finds out what it is about.
async fn read_plan(
    shared: &EdgeShared,
    request: Request<Incoming>,
) -> Result<RequestPlan, (RefusalReason, Option<String>)> {
    let came_at = Instant::now();
    let facts = (shared.port.read_request)(request.headers());
    let id = facts.id.clone();
    let (head, body) = request.into_parts();
    let known = shared.state.borrow().map.clone();
    let (map, body) = match known {
        Some(map) => (map, RequestBody::Coming(body)),
        None => {
            let found = await_map(shared, &facts, body, came_at).await;
            found.map_err(|reason| (reason, id.clone()))?
        }
    };
    let request = Request::from_parts(head, ());
    let target = find_target(&map, &request, &facts).map_err(|reason| (reason, id.clone()))?;
    let rule = map.route(target.route);
    let patience = facts.time_left.unwrap_or(DEFAULT_TIME).min(rule.timeout);
    let deadline = came_at + patience;
    if !has_time_here(shared, rule, deadline) {
        return Err((RefusalReason::Stopping, id));
    }
    let service = map.draw_target(target.route, rand::random()).to_owned();
    let limit = map.config().limits.max_body_bytes;
    let body = match body {
        RequestBody::Coming(body) => read_body(body, limit, deadline).await,
        RequestBody::Read(body) if body.len() > limit => Err(RefusalReason::TooLarge),
        RequestBody::Read(body) => Ok(body),
    };
    let body = body.map_err(|reason| (reason, id))?;
    let (mut parts, ()) = request.into_parts();
    strip_connection(&mut parts.headers);
    let path = parts.uri.path_and_query().cloned();
    Ok(RequestPlan {
        route: target.route,
        customer: target.customer,
        service,
        facts: RequestFacts { key: None, ..facts },
        id: target.id,
        method: parts.method,
        target: path.map_or(parts.uri, Uri::from),
        headers: parts.headers,
        body,
        came_at,
        deadline,
        map,
    })
}

/// A request's body, still on its way or read before anything was known of its route.
enum RequestBody {
    Coming(Incoming),
    Read(Bytes),
}

/// Waits for the first configuration, as long as this edge is starting.
///
/// The body is read first: callers take an edge that does not read for one that is gone.
async fn await_map(
    shared: &EdgeShared,
    facts: &RequestFacts,
    body: Incoming,
    came_at: Instant,
) -> Result<(Rc<RouteMap>, RequestBody), RefusalReason> {
    let time_left = facts.time_left.unwrap_or(DEFAULT_TIME);
    let wait_end = came_at + start_wait(shared.running(), time_left);
    let limit = CallerLimits::default().max_body_bytes;
    let body = read_body(body, limit, came_at + time_left).await?;
    loop {
        let known = shared.state.borrow().map.clone();
        if let Some(map) = known {
            return Ok((map, RequestBody::Read(body)));
        }
        if Instant::now() >= wait_end {
            return Err(RefusalReason::Starting);
        }
        sleep(START_POLL).await;
    }
}

/// Whether an answer can be whole before this edge ends, if it is stopping.
///
/// Callers who keep an answer of the directory for long come some seconds after an edge was told to
/// stop. What it takes on then and cannot finish is cut; refused at once, they go elsewhere.
fn has_time_here(shared: &EdgeShared, rule: &RouteRule, deadline: Instant) -> bool {
    let Some(ends_at) = shared.state.borrow().ends_at else {
        return true;
    };
    let needed = match rule.kind {
        RequestKind::Stream => STREAM_TIME,
        RequestKind::Safe | RequestKind::Unsafe => ANSWER_TIME,
    };
    ends_at >= deadline.min(Instant::now() + needed)
}

async fn read_body(
    body: Incoming,
    limit: usize,
    deadline: Instant,
) -> Result<Bytes, RefusalReason> {
    match timeout_at(deadline, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(RefusalReason::TooLarge),
        Ok(Err(error)) => {
            tracing::debug!(%error, "a body ended early");
            Err(RefusalReason::CutBody)
        }
        Err(_) => Err(RefusalReason::SlowBody),
    }
}

/// Passes a request on until an endpoint has answered it or it must be refused.
async fn pass_on(shared: &Rc<EdgeShared>, plan: Rc<RequestPlan>) -> Response<EdgeBody> {
    let mut way = RequestWay::default();
    earn_repeat(shared, &plan);
    // Endpoints announce themselves anew once registries are there.
    let time_left = plan.deadline.saturating_duration_since(plan.came_at);
    let wait_end = plan.came_at + start_wait(shared.running(), time_left);
    loop {
        let may_wait = way.tried.is_empty() && Instant::now() < wait_end;
        // If callers of a whole second were all sent to the first engines that announced themselves,
        // those would read all texts anew, and each caller would wait for two seconds.
        if may_wait && awaits_holder(shared, &plan) {
            sleep(START_POLL).await;
            continue;
        }
        let Some(chosen) = choose_endpoint(shared, &plan, &way.tried) else {
            if may_wait {
                sleep(START_POLL).await;
                continue;
            }
            return refuse(&plan, &way, RefusalReason::NoEndpoint);
        };
        way.tried.push(chosen.key);
        let calling = call_endpoint(shared, &plan, &chosen, plan.facts.after_event);
        let mut end_soon = shared.end_soon.subscribe();
        let end = tokio::select! {
            end = calling => end,
            // The sender lives as long as the edge, so this ends only by the last call.
            _ = end_soon.wait_for(|is_last| *is_last) => CallEnd::TimedOut,
        };
        let step = way.take(shared, &plan, &chosen, end);
        match step {
            WayStep::Again => {}
            WayStep::Refuse(reason) => return refuse(&plan, &way, reason),
            WayStep::Answer(answer) => return hand_over(&plan, &way, &chosen, answer),
            WayStep::Stream(run) => {
                count_request(kind_label(&plan), "stream", "");
                note_answer(&plan, &chosen);
                tracing::info!(
                    request = plan.id,
                    outcome = "stream",
                    route = plan.rule().name,
                    endpoint = chosen.name,
                    load = chosen.load,
                    load_age_ms = chosen.load_age_ms(),
                    version = plan.map.config().version,
                    among = chosen.among,
                    holds_text = chosen.holds_text,
                    text_from = chosen
                        .text_source
                        .as_ref()
                        .map(|source| source.name.as_str()),
                    attempts = way.attempts,
                    took_ms = plan.came_at.elapsed().as_millis() as u64,
                    "request answered"
                );
                let mut answer = Response::new(EdgeBody::whole(Bytes::new()));
                *answer.status_mut() = run.status;
                *answer.headers_mut() = run.headers.clone();
                let stream = StreamBody::new(
                    shared,
                    Rc::clone(&plan),
                    run,
                    way.tried.clone(),
                    way.attempts,
                );
                *answer.body_mut() = EdgeBody::Stream(Box::new(stream));
                return answer;
            }
        }
    }
}

/// Whether the engine that holds the request's text has yet to announce itself.
fn awaits_holder(shared: &EdgeShared, plan: &RequestPlan) -> bool {
    let text = plan.facts.shared_text();
    let state = shared.state.borrow();
    text.is_some_and(|text| state.awaits_holder(text, shared.now()))
}

/// What has become of a request so far.
#[derive(Default)]
struct RequestWay {
    tried: Vec<EndpointKey>,
    /// Endpoints that were sent the request.
    attempts: u32,
    /// Endpoints that could not be reached.
    dials: u32,
    /// Whether some endpoint may have run it.
    may_have_run: bool,
}

/// What comes next.
enum WayStep {
    Again,
    Refuse(RefusalReason),
    Answer(WholeAnswer),
    Stream(Box<crate::endpoint_call::EventAnswer>),
}

impl RequestWay {
    fn take(
        &mut self,
        shared: &EdgeShared,
        plan: &RequestPlan,
        chosen: &ChosenEndpoint,
        end: CallEnd,
    ) -> WayStep {
        let (reason, refusal) = match end {
            CallEnd::Whole(answer) => return self.take_answer(shared, plan, chosen, answer),
            CallEnd::Events(run) => {
                self.attempts += 1;
                return WayStep::Stream(run);
            }
            CallEnd::NotSent { reason } => {
                self.dials += 1;
                self.note(plan, chosen, &reason);
                return match self.dials < MAX_DIALS {
                    true => WayStep::Again,
                    false => WayStep::Refuse(RefusalReason::NoEndpoint),
                };
            }
            CallEnd::TimedOut => {
                self.may_have_run = true;
                return WayStep::Refuse(RefusalReason::TimedOut);
            }
            CallEnd::NotRun => ("not run".to_owned(), RefusalReason::NotRun),
            CallEnd::Misdirected => (
                "another endpoint is there".to_owned(),
                RefusalReason::NotRun,
            ),
            CallEnd::Lost { reason } => {
                self.may_have_run = true;
                (reason, RefusalReason::Unknown)
            }
        };
        self.attempts += 1;
        metrics::counter!(metric_names::FAILED_ATTEMPTS, "reason" => refusal.label()).increment(1);
        self.note(plan, chosen, &reason);
        let may_repeat = !self.may_have_run || plan.rule().is_repeatable();
        match may_repeat && self.may_try_again(shared, plan) {
            true => WayStep::Again,
            false => WayStep::Refuse(refusal),
        }
    }

    /// Passes an answer on, unless it is a failure that another endpoint may do better.
    fn take_answer(
        &mut self,
        shared: &EdgeShared,
        plan: &RequestPlan,
        chosen: &ChosenEndpoint,
        answer: WholeAnswer,
    ) -> WayStep {
        self.attempts += 1;
        let is_failure = answer.status.is_server_error();
        if !is_failure || !plan.rule().is_repeatable() || !self.may_try_again(shared, plan) {
            return WayStep::Answer(answer);
        }
        self.may_have_run = true;
        self.note(plan, chosen, answer.status.as_str());
        WayStep::Again
    }

    fn may_try_again(&self, shared: &EdgeShared, plan: &RequestPlan) -> bool {
        let is_within = self.attempts < plan.rule().max_attempts;
        let has_time = Instant::now() < plan.deadline;
        is_within && has_time && {
            let now = shared.now();
            let mut state = shared.state.borrow_mut();
            let budget = state.budget_mut(&plan.service, &shared.settings, now);
            let may = budget.spend();
            let outcome = if may { "made" } else { "over_budget" };
            metrics::counter!(metric_names::REPEATS, "outcome" => outcome).increment(1);
            may
        }
    }

    fn note(&self, plan: &RequestPlan, chosen: &ChosenEndpoint, reason: &str) {
        tracing::info!(
            request = plan.id,
            endpoint = chosen.name,
            address = %chosen.address,
            load = chosen.load,
            load_age_ms = chosen.load_age_ms(),
            version = plan.map.config().version,
            attempts = self.attempts,
            reason,
            "attempt failed"
        );
    }
}

fn earn_repeat(shared: &EdgeShared, plan: &RequestPlan) {
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    let edges = state.edges;
    let budget = state.budget_mut(&plan.service, &shared.settings, now);
    budget.earn(edges, now);
}

fn hand_over(
    plan: &RequestPlan,
    way: &RequestWay,
    chosen: &ChosenEndpoint,
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
        took_ms = plan.came_at.elapsed().as_millis() as u64,
        "request over"
    );
    let mut response = Response::new(EdgeBody::whole(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}

fn refuse(plan: &RequestPlan, way: &RequestWay, reason: RefusalReason) -> Response<EdgeBody> {
    // A refusal that says "not run" must be true of every attempt, not just of the last one.
    let is_promise = matches!(reason, RefusalReason::NotRun | RefusalReason::NoEndpoint);
    let reason = match is_promise && way.may_have_run {
        true => RefusalReason::Unknown,
        false => reason,
    };
    count_request(kind_label(plan), "refused", reason.label());
    let again = is_promise && !way.may_have_run;
    let again = again.then(come_back);
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
fn kind_label(plan: &RequestPlan) -> &'static str {
    match plan.rule().kind {
        RequestKind::Safe => "safe",
        RequestKind::Unsafe => "unsafe",
        RequestKind::Stream => "stream",
    }
}

fn count_request(kind: &'static str, outcome: &'static str, reason: &'static str) {
    let labels = [("kind", kind), ("outcome", outcome), ("reason", reason)];
    metrics::counter!(metric_names::REQUESTS, &labels).increment(1);
}

/// Notes how long an answer took, and what was believed of the endpoint that gave it.
fn note_answer(plan: &RequestPlan, chosen: &ChosenEndpoint) {
    let kind = kind_label(plan);
    let took = plan.came_at.elapsed();
    metrics::histogram!(metric_names::ANSWER_SECONDS, "kind" => kind).record(took);
    metrics::histogram!(metric_names::BELIEVED_LOAD).record(chosen.load);
    if !plan.facts.parts.is_empty() {
        let held = if chosen.holds_text { "yes" } else { "no" };
        metrics::counter!(metric_names::TEXT_PLACES, "held" => held).increment(1);
    }
}

fn come_back() -> Duration {
    let (least, most) = COME_BACK_MS;
    Duration::from_millis(rand::rng().random_range(least..=most))
}
