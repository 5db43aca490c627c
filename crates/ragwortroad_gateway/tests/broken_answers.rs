//! Endpoints that answer badly: a caller gets a whole answer of its own, or a typed refusal.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::test_fleet::{
    TestFleet,
    chat_body,
    is_own,
    refusal_of,
    streamed_text, //
};
use ragwortroad_gateway::prelude::*;
use ragwortroad_load::prelude::*;
use ragwortroad_standin::prelude::*;
use ragwortroad_types::prelude::*;

/// A plan with one fault in it.
fn fault(change: impl FnOnce(&mut FaultPlan)) -> FaultPlan {
    let mut plan = FaultPlan::default();
    change(&mut plan);
    plan
}

fn fleet_with(faults: FaultPlan) -> TestFleet {
    let fleet = TestFleet::start(GatewaySettings {
        stream_timeout: Duration::from_millis(1500),
        ..GatewaySettings::default()
    });
    fleet.engines[0].set_faults(faults.clone());
    fleet.services[0].set_faults(faults);
    fleet
}

/// Whether a whole answer's text is the chat's own.
fn whole_is_own(answer: &str, chat: &ChatBody) -> bool {
    let (_, body) = answer.split_once("\r\n\r\n").unwrap();
    let value: serde_json::Value = serde_json::from_str(body).unwrap();
    let text = value["choices"][0]["message"]["content"].as_str().unwrap();
    ResponseCheck::new(chat).check_text(text).is_ok()
}

#[test]
fn a_bad_whole_answer_is_asked_for_elsewhere() {
    // An engine's answer stops before its announced length, names another request, is a redirect,
    // or never comes. A library that takes such an answer would hand a photographer half a
    // caption, or another studio's.
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
        let answer = fleet.chat(&chat, "");
        assert!(answer.starts_with("HTTP/1.1 200"), "{plan:?}: {answer}");
        assert!(whole_is_own(&answer, &chat), "{plan:?}: {answer}");
        let outcomes = fleet.stop().outcomes();
        assert_eq!(outcomes[0], AttemptOutcome::Broken, "{plan:?}");
        assert!(
            matches!(outcomes[1], AttemptOutcome::Completed { .. }),
            "{plan:?}"
        );
    }
}

#[test]
fn a_stream_that_breaks_at_any_token_goes_on_at_the_right_one() {
    // An engine's process restarts, falls silent or goes over to another's answer in the middle of
    // a stream. The caller must see one answer without a seam: a token twice or left out would
    // stand in the printed lookbook.
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
            let answer = fleet.chat(&chat, "");
            assert!(is_own(&answer, &chat), "{fault:?}: {answer}");
            // The next engine begins where the caller's text ends. A dying process takes tokens
            // with it that it had made and its socket had not sent, so there that may be earlier.
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

#[test]
fn a_stream_without_its_final_marker_is_not_taken_as_whole() {
    // The engine ends the body in good order but leaves out the marker, as one does that was told
    // to stop. Without the check the caller would take the text as complete.
    let fleet = fleet_with(fault(|plan| plan.omit_done_marker = true));
    let chat = chat_body(true);
    let answer = fleet.chat(&chat, "");
    assert!(is_own(&answer, &chat), "{answer}");
    assert_eq!(fleet.engines[1].records()[0].from_token, 12);
    assert_eq!(
        answer.matches("\"finish_reason\":\"stop\"").count(),
        1,
        "{answer}"
    );
    assert_eq!(fleet.stop().outcomes()[0], AttemptOutcome::Broken);
}

#[test]
fn a_stream_that_nobody_goes_on_with_ends_in_a_typed_error() {
    // The only engine dies in mid-stream. The caller must be able to tell that the text is not
    // whole, and must not be told that nothing ran.
    let fleet = fleet_with(fault(|plan| plan.close_after_tokens = Some(5)));
    fleet.control.routes.lock().unwrap().refuse_retries = true;
    let answer = fleet.chat(&chat_body(true), "");
    let (_, ended) = streamed_text(&answer.replace("data: {\"error\"", "error: {\"error\""));
    assert!(!ended, "{answer}");
    let refusal = refusal_of(&answer);
    assert_eq!(refusal.outcome, RequestOutcome::Unknown);
    assert_eq!(refusal.code, RefusalCode::NoEndpoint);
    fleet.stop();
}

#[test]
fn a_request_that_was_sent_is_never_refused_as_not_run() {
    // The first engine breaks off, and the control thread refuses the retry as not run, which is
    // true of the retry alone. A caller that believed it would run the request again.
    let fleet = fleet_with(fault(|plan| plan.close_without_response = true));
    fleet.control.routes.lock().unwrap().refuse_retries = true;
    let refusal = refusal_of(&fleet.chat(&chat_body(false), ""));
    assert_eq!(refusal.outcome, RequestOutcome::Unknown);
    fleet.stop();
}

#[test]
fn a_booking_with_a_broken_answer_is_not_sent_again() {
    // The desk books, and its answer is lost, cut short or another's. Sent again elsewhere, the
    // booking would put two crews on one set.
    let faults = [
        fault(|plan| plan.close_without_response = true),
        fault(|plan| plan.truncate_body = true),
        fault(|plan| plan.echoed_request_id = Some("00000000000000aa".to_owned())),
    ];
    for fault in faults {
        let fleet = fleet_with(fault);
        let answer = fleet.book("idempotency-key: b-1\r\n");
        let refusal = refusal_of(&answer);
        assert_eq!(refusal.outcome, RequestOutcome::Unknown);
        assert_eq!(refusal.code, RefusalCode::BrokenAnswer);
        assert!(
            !answer.contains("body_hash"),
            "nothing of the answer: {answer}"
        );
        assert_eq!(fleet.records().len(), 1);
        assert_eq!(fleet.stop().outcomes(), [AttemptOutcome::Broken]);
    }
}

#[test]
fn a_redirect_of_a_service_is_not_followed() {
    // A desk answers with a redirect to the other desk. Following it would book there as well; it
    // is the caller's to decide.
    let fleet = fleet_with(FaultPlan::default());
    let other = format!("http://{}/bookings", fleet.services[1].address());
    fleet.services[0].set_faults(fault(|plan| plan.redirect_to = Some(other.clone())));
    let answer = fleet.book("");
    assert!(answer.starts_with("HTTP/1.1 307"), "{answer}");
    assert!(answer.contains(&format!("location: {other}\r\n")));
    assert!(fleet.services[1].records().is_empty());
    fleet.stop();
}

#[test]
fn an_endpoint_that_takes_no_connection_costs_nothing() {
    // An endpoint's process is gone and its address refuses. Nothing was sent, so even a booking
    // may go to the next endpoint, and runs there once.
    let fleet = fleet_with(fault(|plan| plan.refuse_connections = true));
    let refused = fleet.services[0].address();
    fleet.wait_for("the port closes", |_| {
        std::net::TcpStream::connect(refused).is_err()
    });
    let answer = fleet.book("idempotency-key: b-2\r\n");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(fleet.services[0].records().is_empty());
    assert_eq!(fleet.services[1].records().len(), 1);
    let log = fleet.stop();
    assert_eq!(log.outcomes()[0], AttemptOutcome::NotSent);
    assert_eq!(log.admits[1].retry_of, Some(TicketId(1)));
}

#[test]
fn an_answer_after_the_deadline_is_not_handed_over() {
    // The endpoint answers when the caller has given up. Handed over late, the answer could meet
    // the caller's next request; and nobody knows whether the booking ran.
    let fleet = fleet_with(fault(|plan| plan.response_delay = Duration::from_secs(60)));
    let answer = fleet.book("x-deadline-ms: 500\r\n");
    let refusal = refusal_of(&answer);
    assert_eq!(refusal.code, RefusalCode::DeadlinePassed);
    assert_eq!(refusal.outcome, RequestOutcome::Unknown);
    let answer = fleet.chat(&chat_body(false), "x-deadline-ms: 500\r\n");
    assert_eq!(refusal_of(&answer).code, RefusalCode::DeadlinePassed);
    fleet.wait_for("the engine's work is cancelled", |fleet| {
        fleet.engines[0].records()[0].end == RunStatus::Cancelled
    });
    let outcomes = fleet.stop().outcomes();
    assert_eq!(
        outcomes,
        [AttemptOutcome::TimedOut, AttemptOutcome::TimedOut]
    );
}

#[test]
fn a_deadline_that_passes_before_the_grant_is_not_run() {
    // The control thread is busy for longer than the caller waits, and grants when nobody listens
    // any more. The grant must come back, or it would count as load for ever.
    let fleet = fleet_with(FaultPlan::default());
    fleet.control.routes.lock().unwrap().grant_delay = Duration::from_millis(300);
    let refusal = refusal_of(&fleet.book("x-deadline-ms: 50\r\n"));
    assert_eq!(refusal.code, RefusalCode::DeadlinePassed);
    assert_eq!(refusal.outcome, RequestOutcome::NotRun);
    assert!(fleet.records().is_empty());
    fleet.stop();
}

#[test]
fn a_recorded_answer_is_given_again_without_running() {
    // A caller lost the answer to its booking and sends it again under the same key.
    let fleet = fleet_with(FaultPlan::default());
    let first = fleet.book("idempotency-key: b-3\r\n");
    let (_, body) = first.split_once("\r\n\r\n").unwrap();
    fleet.wait_for("the answer is recorded", |fleet| {
        !fleet.control.log.lock().unwrap().finishes.is_empty()
    });
    let finish = fleet.control.log.lock().unwrap().finishes[0].clone();
    let AttemptOutcome::Completed {
        answer: Some(answer),
        ..
    } = finish.outcome
    else {
        panic!("no answer to record");
    };
    let recorded = [("b-3".to_owned(), answer)].into();
    fleet.control.routes.lock().unwrap().recorded = recorded;
    let second = fleet.book("idempotency-key: b-3\r\n");
    assert!(second.contains("x-replayed: true\r\n"), "{second}");
    assert!(second.ends_with(body), "{second}");
    assert_eq!(fleet.records().len(), 1);
    fleet.stop();
}
