//! Endpoints with faulty responses: a client gets a complete response of its own or a typed
//! refusal.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::test_fleet::{
    TestFleet,
    chat_body,
    is_own_response,
    refusal_of,
    stream_text, //
};
use ragwortroad_gateway::prelude::*;
use ragwortroad_load::prelude::*;
use ragwortroad_standin::prelude::*;
use ragwortroad_types::prelude::*;

/// A fault plan with one change.
fn fault(change: impl FnOnce(&mut FaultPlan)) -> FaultPlan {
    let mut plan = FaultPlan::default();
    change(&mut plan);
    plan
}

fn fleet_with(faults: FaultPlan) -> TestFleet {
    let fleet = TestFleet::start(GatewaySettings {
        stream_idle_timeout: Duration::from_millis(1500),
        ..GatewaySettings::default()
    });
    fleet.engines[0].set_faults(faults.clone());
    fleet.services[0].set_faults(faults);
    fleet
}

/// Whether the text of a complete response is the expected one for the chat.
fn is_own_complete_response(response: &str, chat: &ChatBody) -> bool {
    let (_, body) = response.split_once("\r\n\r\n").unwrap();
    let value: serde_json::Value = serde_json::from_str(body).unwrap();
    let text = value["choices"][0]["message"]["content"].as_str().unwrap();
    ResponseCheck::new(chat).check_text(text).is_ok()
}

/// Guards against half a caption, or another studio's, reaching a client: an engine's response is
/// truncated, names another request, is a redirect or an error, or never comes.
#[test]
fn a_faulty_complete_response_is_retried_elsewhere() {
    let faults = [
        fault(|plan| plan.truncate_body = true),
        fault(|plan| plan.echoed_request_id = Some("00000000000000aa".to_owned())),
        fault(|plan| plan.foreign_id_from_token = Some(0)),
        fault(|plan| plan.redirect_to = Some("http://192.0.2.9/".to_owned())),
        fault(|plan| plan.close_without_response = true),
        fault(|plan| plan.status = Some(503)),
    ];
    for plan in faults {
        let fleet = fleet_with(plan.clone());
        let chat = chat_body(false);
        let response = fleet.chat(&chat, "");
        assert!(response.starts_with("HTTP/1.1 200"), "{plan:?}: {response}");
        assert!(
            is_own_complete_response(&response, &chat),
            "{plan:?}: {response}"
        );
        let outcomes = fleet.stop().outcomes();
        assert_eq!(outcomes[0], AttemptOutcome::Broken, "{plan:?}");
        assert!(
            matches!(outcomes[1], AttemptOutcome::Completed { .. }),
            "{plan:?}"
        );
    }
}

/// Guards against a duplicate or missing token in the text: an engine restarts, stalls or switches
/// to another's response at any point of a stream, and another engine resumes it.
#[test]
fn a_stream_broken_at_any_token_resumes_at_the_right_one() {
    let count = 12;
    for token in 0..count {
        for kind in 0..5 {
            let at = |wanted: u32| (kind == wanted).then_some(token);
            let fault = FaultPlan {
                close_after_tokens: at(0),
                stall_after_tokens: at(1).filter(|token| token % 4 == 0),
                foreign_id_from_token: at(2),
                duplicate_token: at(3),
                skip_token: at(4),
                ..FaultPlan::default()
            };
            let fleet = fleet_with(fault.clone());
            let chat = chat_body(true);
            let response = fleet.chat(&chat, "");
            assert!(is_own_response(&response, &chat), "{fault:?}: {response}");
            // The next engine resumes where the client's text ends. A process that dies loses
            // tokens that it generated but its socket had not sent, so there the position may be
            // earlier.
            let resumed = fleet.engines[1].records();
            match kind {
                0 => assert!(resumed[0].from_token <= token, "{fault:?}"),
                2 => assert_eq!(resumed[0].from_token, token, "{fault:?}"),
                _ => {}
            }
            fleet.stop();
        }
    }
}

/// Guards against a truncated text that counts as complete: an engine that was told to stop ends
/// the body cleanly but without the final marker.
#[test]
fn a_stream_without_its_final_marker_is_incomplete() {
    let fleet = fleet_with(fault(|plan| plan.omit_done_marker = true));
    let chat = chat_body(true);
    let response = fleet.chat(&chat, "");
    assert!(is_own_response(&response, &chat), "{response}");
    assert_eq!(fleet.engines[1].records()[0].from_token, 12);
    assert_eq!(
        response.matches("\"finish_reason\":\"stop\"").count(),
        1,
        "{response}"
    );
    assert_eq!(fleet.stop().outcomes()[0], AttemptOutcome::Broken);
}

/// Guards against a client that takes a partial text as complete, or is told that nothing ran: the
/// only engine dies in the middle of the stream.
#[test]
fn a_stream_that_cannot_resume_ends_in_a_typed_error() {
    let fleet = fleet_with(fault(|plan| plan.close_after_tokens = Some(5)));
    fleet.control.routes.lock().unwrap().refuse_retries = true;
    let response = fleet.chat(&chat_body(true), "");
    let (_, ended) = stream_text(&response.replace("data: {\"error\"", "error: {\"error\""));
    assert!(!ended, "{response}");
    let refusal = refusal_of(&response);
    assert_eq!(refusal.outcome, RequestOutcome::Unknown);
    assert_eq!(refusal.code, RefusalCode::NoEndpoint);
    fleet.stop();
}

/// Guards against a client that runs a request again: the first engine closes the connection, and
/// the control thread refuses the retry as not run, which holds for the retry alone.
#[test]
fn a_request_that_was_sent_is_never_refused_as_not_run() {
    let fleet = fleet_with(fault(|plan| plan.close_without_response = true));
    fleet.control.routes.lock().unwrap().refuse_retries = true;
    let refusal = refusal_of(&fleet.chat(&chat_body(false), ""));
    assert_eq!(refusal.outcome, RequestOutcome::Unknown);
    fleet.stop();
}

/// Guards against a double booking, two crews on one set: the service books, and its response is
/// lost, truncated or another request's.
#[test]
fn a_booking_with_a_broken_response_is_not_retried() {
    let faults = [
        fault(|plan| plan.close_without_response = true),
        fault(|plan| plan.truncate_body = true),
        fault(|plan| plan.echoed_request_id = Some("00000000000000aa".to_owned())),
    ];
    for fault in faults {
        let fleet = fleet_with(fault);
        let response = fleet.book("idempotency-key: b-1\r\n");
        let refusal = refusal_of(&response);
        assert_eq!(refusal.outcome, RequestOutcome::Unknown);
        assert_eq!(refusal.code, RefusalCode::BrokenAnswer);
        assert!(
            !response.contains("body_hash"),
            "the refusal contains a part of the response: {response}"
        );
        assert_eq!(fleet.records().len(), 1);
        assert_eq!(fleet.stop().outcomes(), [AttemptOutcome::Broken]);
    }
}

/// Guards against a second booking at the target of a redirect: a service redirects to another one,
/// and only the client may decide whether to follow.
#[test]
fn a_service_redirect_is_not_followed() {
    let fleet = fleet_with(FaultPlan::default());
    let other = format!("http://{}/bookings", fleet.services[1].address());
    fleet.services[0].set_faults(fault(|plan| plan.redirect_to = Some(other.clone())));
    let response = fleet.book("");
    assert!(response.starts_with("HTTP/1.1 307"), "{response}");
    assert!(response.contains(&format!("location: {other}\r\n")));
    assert!(fleet.services[1].records().is_empty());
    fleet.stop();
}

/// Guards against a booking that fails or runs twice because one endpoint is down: its address
/// refuses connections, nothing was sent, so the next endpoint may run the booking.
#[test]
fn an_endpoint_that_refuses_connections_fails_no_request() {
    let fleet = fleet_with(fault(|plan| plan.refuse_connections = true));
    let refused = fleet.services[0].address();
    fleet.wait_for("the port closes", |_| {
        std::net::TcpStream::connect(refused).is_err()
    });
    let response = fleet.book("idempotency-key: b-2\r\n");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(fleet.services[0].records().is_empty());
    assert_eq!(fleet.services[1].records().len(), 1);
    let log = fleet.stop();
    assert_eq!(log.outcomes()[0], AttemptOutcome::NotSent);
    assert_eq!(log.admits[1].retry_of, Some(TicketId(1)));
}

/// Guards against a late response that reaches the client's next request: the endpoint responds
/// after the client gave up, and whether the booking ran is unknown.
#[test]
fn a_response_after_the_deadline_is_not_forwarded() {
    let fleet = fleet_with(fault(|plan| plan.response_delay = Duration::from_secs(60)));
    let response = fleet.book("x-deadline-ms: 500\r\n");
    let refusal = refusal_of(&response);
    assert_eq!(refusal.code, RefusalCode::DeadlinePassed);
    assert_eq!(refusal.outcome, RequestOutcome::Unknown);
    let response = fleet.chat(&chat_body(false), "x-deadline-ms: 500\r\n");
    assert_eq!(refusal_of(&response).code, RefusalCode::DeadlinePassed);
    fleet.wait_for("the engine's work is cancelled", |fleet| {
        fleet.engines[0].records()[0].end == RunStatus::Cancelled
    });
    let outcomes = fleet.stop().outcomes();
    assert_eq!(
        outcomes,
        [AttemptOutcome::TimedOut, AttemptOutcome::TimedOut]
    );
}

/// Guards against a leaked grant, which would count as load forever: the control thread is busy for
/// longer than the client waits, and grants after the deadline.
#[test]
fn a_deadline_passing_before_the_grant_is_not_run() {
    let fleet = fleet_with(FaultPlan::default());
    fleet.control.routes.lock().unwrap().grant_delay = Duration::from_millis(300);
    let refusal = refusal_of(&fleet.book("x-deadline-ms: 50\r\n"));
    assert_eq!(refusal.code, RefusalCode::DeadlinePassed);
    assert_eq!(refusal.outcome, RequestOutcome::NotRun);
    assert!(fleet.records().is_empty());
    fleet.stop();
}

/// Guards against a booking that runs twice: a client loses the response to its booking and sends
/// the booking again under the same idempotency key.
#[test]
fn a_recorded_response_is_replayed_without_running() {
    let fleet = fleet_with(FaultPlan::default());
    let first = fleet.book("idempotency-key: b-3\r\n");
    let (_, body) = first.split_once("\r\n\r\n").unwrap();
    fleet.wait_for("the attempt is reported with its response", |fleet| {
        !fleet.control.log.lock().unwrap().finishes.is_empty()
    });
    let finish = fleet.control.log.lock().unwrap().finishes[0].clone();
    let AttemptOutcome::Completed {
        response: Some(response),
        ..
    } = finish.outcome
    else {
        panic!("no response to record");
    };
    let recorded = [("b-3".to_owned(), response)].into();
    fleet.control.routes.lock().unwrap().recorded = recorded;
    let second = fleet.book("idempotency-key: b-3\r\n");
    assert!(second.contains("x-replayed: true\r\n"), "{second}");
    assert!(second.ends_with(body), "{second}");
    assert_eq!(fleet.records().len(), 1);
    fleet.stop();
}
