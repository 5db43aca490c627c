//! One request of a caller, from its head to its answer.

use std::{
    convert::Infallible,
    rc::Rc, //
};

use bytes::Bytes;
use hyper::{
    Request,
    Response,
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
    edge_body::EdgeBody,
    edge_state::EdgeShared,
    endpoint_call::{
        CallEnd,
        call_endpoint,
        note_end, //
    },
    endpoint_choice::{
        ChosenEndpoint,
        choose_endpoint, //
    },
    gate_pass::pass_gate,
    refusal_answer::refusal_answer,
    refusal_reason::RefusalReason,
    request_end::{
        come_back,
        count_request,
        hand_over,
        kind_label,
        note_answer,
        refuse, //
    },
    request_plan::RequestPlan,
    request_reading::{
        START_POLL,
        read_plan, //
    },
    request_way::{
        RequestWay,
        WayStep, //
    },
    stream_body::StreamBody, //
};

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
                RefusalReason::Starting => Some(time_to_ready(shared.running()) + come_back()),
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

/// Passes a request on until an endpoint has answered it or it must be refused.
async fn pass_on(shared: &Rc<EdgeShared>, plan: Rc<RequestPlan>) -> Response<EdgeBody> {
    let mut way = RequestWay::default();
    earn_repeat(shared, &plan);
    let Some(pass) = pass_gate(shared, &plan).await else {
        return refuse(shared, &plan, &way, RefusalReason::Overload);
    };
    // Endpoints announce themselves anew once registries are there.
    let time_left = plan.deadline.saturating_duration_since(plan.came_at);
    let wait_end = plan.came_at + shared.start_wait(time_left);
    loop {
        let may_wait = way.tried.is_empty() && Instant::now() < wait_end;
        // If callers of a whole second were all sent to the first engines that announced themselves,
        // those would read all texts anew, and each caller would wait for two seconds.
        let awaits = shared.settings.mechanisms.holder_wait && may_wait;
        if awaits && awaits_holder(shared, &plan) {
            sleep(START_POLL).await;
            continue;
        }
        let Some(chosen) = choose_endpoint(shared, &plan, &way.tried) else {
            if may_wait {
                sleep(START_POLL).await;
                continue;
            }
            return refuse(shared, &plan, &way, RefusalReason::NoEndpoint);
        };
        way.tried.push(chosen.key);
        let end = await_endpoint(shared, &plan, &way, &chosen).await;
        let step = way.take(shared, &plan, &chosen, end);
        match step {
            WayStep::Again => {}
            WayStep::Refuse(reason) => return refuse(shared, &plan, &way, reason),
            WayStep::Answer(answer) => return hand_over(&plan, &way, &chosen, &pass, answer),
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
                    text = plan.facts.shared_prefix(),
                    tokens = plan.facts.shared_prefix_tokens(),
                    holds_text = chosen.holds_text,
                    text_from = chosen
                        .prefix_source
                        .as_ref()
                        .map(|source| source.name.as_str()),
                    attempts = way.attempts,
                    waited_ms = pass.waited.as_millis() as u64,
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
                    pass,
                );
                *answer.body_mut() = EdgeBody::Stream(Box::new(stream));
                return answer;
            }
        }
    }
}

/// Waits for an endpoint to answer, as long as that is the best for the caller.
async fn await_endpoint(
    shared: &Rc<EdgeShared>,
    plan: &RequestPlan,
    way: &RequestWay,
    chosen: &ChosenEndpoint,
) -> CallEnd {
    let time_left = plan.deadline.saturating_duration_since(Instant::now());
    let patience = first_byte_timeout(plan.rule().target, time_left);
    let mut end_soon = shared.end_soon.subscribe();
    // The sender lives as long as the edge, so this ends only by the last call.
    let last_call = end_soon.wait_for(|is_last| *is_last);
    let calling = call_endpoint(shared, plan, chosen, plan.facts.last_event_id);
    tokio::pin!(last_call, calling);
    tokio::select! {
        end = &mut calling => return end,
        _ = &mut last_call => return CallEnd::TimedOut,
        () = sleep(patience) => {}
    }
    let is_on = shared.settings.mechanisms.silence && !is_shedding(shared, plan);
    if is_on && way.may_leave(shared, plan) {
        note_end(shared, chosen, &CallEnd::Silent);
        return CallEnd::Silent;
    }
    tokio::select! {
        end = calling => end,
        _ = last_call => CallEnd::TimedOut,
    }
}

/// Whether requests for the same service were refused for load a moment ago.
///
/// Then a first event is late because engines have too much to do, and a second run would take the
/// place of a caller who is refused instead.
fn is_shedding(shared: &EdgeShared, plan: &RequestPlan) -> bool {
    let state = shared.state.borrow();
    let gate = state.gates.get(&plan.service);
    gate.is_some_and(|gate| gate.gate().is_shedding(shared.now()))
}

/// Whether the engine that holds the request's text has yet to announce itself.
fn awaits_holder(shared: &EdgeShared, plan: &RequestPlan) -> bool {
    let text = plan.facts.shared_prefix();
    let state = shared.state.borrow();
    text.is_some_and(|text| state.awaits_holder(text, shared.now()))
}

fn earn_repeat(shared: &EdgeShared, plan: &RequestPlan) {
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    let edges = state.edges;
    let budget = state.budget_mut(&plan.service, &shared.settings, now);
    budget.deposit(edges, now);
}
