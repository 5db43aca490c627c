//! Tests of the run checks against records and fleets with known faults.
#![allow(clippy::unwrap_used)]

use std::{
    io::{
        Read,
        Write, //
    },
    net::TcpListener,
    thread,
    time::Duration, //
};

use ragwortroad_load::prelude::*;
use ragwortroad_standin::prelude::*;
use ragwortroad_types::prelude::*;

fn run_record(request_id: &str, key: Option<&str>) -> RunRecord {
    RunRecord {
        endpoint: "desk-1".to_owned(),
        request_id: request_id.to_owned(),
        customer: "north".to_owned(),
        method: "POST".to_owned(),
        path: "/bookings".to_owned(),
        idempotency_key: key.map(str::to_owned),
        body_hash: 1,
        began_ms: 0,
        ended_ms: Some(1),
        end: RunStatus::Completed,
        from_token: 0,
        tokens: 0,
        cached_tokens: 0,
        prompt_tokens: 0,
    }
}

fn attempt_record(request_id: &str, outcome: Option<RequestOutcome>) -> AttemptRecord {
    AttemptRecord {
        address: "192.0.2.1:80".to_owned(),
        request_id: Some(request_id.to_owned()),
        status: Some(200),
        outcome,
        code: None,
    }
}

fn call_record(kind: CallKind, request_id: &str, key: Option<&str>) -> CallRecord {
    CallRecord {
        kind,
        customer: "north".to_owned(),
        key: key.map(str::to_owned),
        attempts: vec![attempt_record(request_id, None)],
        end: ClientOutcome::Answered,
        first_token_us: None,
        total_us: 10,
        cached_tokens: 0,
        prompt_tokens: 0,
        answer_hash: Some(5),
    }
}

/// A booking that was refused once, ran at the second attempt, and was resent later.
fn correct_run() -> (Vec<CallRecord>, Vec<RunRecord>) {
    let mut first = call_record(CallKind::Booking, "b", Some("k"));
    first
        .attempts
        .insert(0, attempt_record("a", Some(RequestOutcome::NotRun)));
    let again = call_record(CallKind::Resend, "c", Some("k"));
    (vec![first, again], vec![run_record("b", Some("k"))])
}

/// Guards against violations reported for a correct run: a refusal, a retry and a resend.
#[test]
fn a_correct_run_has_no_violation() {
    let (notes, records) = correct_run();
    assert_eq!(verify_run(&notes, &records), []);
}

/// Guards against faults that the checks miss: a booking that runs twice, a refused request that
/// ran, an answer without a run, differing or wrong answers, and a request under another
/// customer's name.
#[test]
fn each_faulty_run_has_its_violation() {
    type InjectFault = fn(&mut Vec<CallRecord>, &mut Vec<RunRecord>);
    let (customer, key) = ("north".to_owned(), "k".to_owned());
    let cases: Vec<(InjectFault, RunViolation)> = vec![
        (
            |_, records| records.push(run_record("c", Some("k"))),
            RunViolation::RanTwice {
                customer: customer.clone(),
                key: key.clone(),
                runs: 2,
            },
        ),
        (
            |_, records| records.push(run_record("a", None)),
            RunViolation::RanThoughRefused {
                request_id: "a".to_owned(),
                endpoint: "desk-1".to_owned(),
            },
        ),
        (
            |notes, _| notes.push(call_record(CallKind::Booking, "d", Some("k2"))),
            RunViolation::AnsweredNotRun {
                customer: customer.clone(),
                key: "k2".to_owned(),
            },
        ),
        (
            |notes, _| notes[1].answer_hash = Some(6),
            RunViolation::AnswersDiffer {
                customer: customer.clone(),
                key,
            },
        ),
        (
            |notes, _| notes[1].end = ClientOutcome::Wrong(ResponseFault::Foreign),
            RunViolation::WrongAnswer {
                customer,
                fault: ResponseFault::Foreign,
            },
        ),
        (
            |notes, records| {
                let mut other = call_record(CallKind::Read, "e", None);
                other.customer = "south".to_owned();
                notes.push(other);
                records.push(run_record("e", None));
            },
            RunViolation::WrongCustomer {
                request_id: "e".to_owned(),
            },
        ),
    ];
    for (inject_fault, violation) in cases {
        let (mut notes, mut records) = correct_run();
        inject_fault(&mut notes, &mut records);
        assert_eq!(verify_run(&notes, &records), [violation]);
    }
}

/// Guards against response checks that accept text with a missing, duplicated or extra part, or
/// the response to another request.
#[test]
fn incomplete_and_foreign_responses_are_detected() {
    let chat = |text: &str| ChatBody {
        model: "caption".to_owned(),
        messages: vec![ChatMessage::text("user", text)],
        max_tokens: Some(8),
        ..ChatBody::default()
    };
    let own = chat("a linen coat");
    let check = ResponseCheck::new(&own);
    let tokens = expected_tokens(&own);
    assert_eq!(check.check_text(&tokens.concat()), Ok(()));
    assert_eq!(check.token_count(), 8);
    for index in 0..tokens.len() {
        assert_eq!(
            check.check_text(&tokens[..index].concat()),
            Err(ResponseFault::Short)
        );
        let mut doubled = tokens.clone();
        doubled.insert(index, tokens[index].clone());
        assert!(check.check_text(&doubled.concat()).is_err());
        let mut missing = tokens.clone();
        missing.remove(index);
        assert!(check.check_text(&missing.concat()).is_err());
    }
    let other = expected_tokens(&chat("a wool coat")).concat();
    assert_eq!(check.check_text(&other), Err(ResponseFault::Foreign));
    let longer = tokens.concat() + &other;
    assert_eq!(check.check_text(&longer), Err(ResponseFault::Long));
    assert_eq!(
        ResponseCheck::check_owner("chatcmpl-2", "1"),
        Err(ResponseFault::WrongRequest)
    );
}

fn customers() -> Vec<CustomerLoad> {
    let customer = |name: &str| CustomerLoad {
        name: name.to_owned(),
        key: name.to_owned(),
        weight: 1.0,
    };
    vec![customer("north"), customer("south")]
}

/// Guards against a run check that misses repeated bookings. Clients send directly to a service,
/// which doesn't deduplicate idempotency keys, so each resent booking runs again.
#[test]
fn a_service_that_repeats_bookings_is_detected_over_sockets() {
    let service = StandinService::start(ServiceSettings::default()).unwrap();
    let mut report = run_load(LoadSettings {
        nodes: vec![service.address().to_string()],
        customers: customers(),
        chats_per_second: 0.0,
        bookings_per_second: 100.0,
        resend_percent: 50,
        duration: Duration::from_millis(600),
        ..LoadSettings::default()
    })
    .unwrap();
    assert!(!report.verify(&service.stop()));
    let is_repeat = |violation: &&RunViolation| matches!(violation, RunViolation::RanTwice { .. });
    assert!(
        report.violations.iter().filter(is_repeat).count() > 3,
        "{report}"
    );
}

/// Guards against latencies that leave out the queue. One client thread sends 200 requests per
/// second to a service that takes 20 ms each: a closed loop would report 20 ms for every request,
/// but the last ones wait far longer.
#[test]
fn latency_includes_the_queue_behind_a_slow_response() {
    let service = StandinService::start(ServiceSettings {
        work_time: Duration::from_millis(20),
        ..ServiceSettings::default()
    })
    .unwrap();
    let report = run_load(LoadSettings {
        nodes: vec![service.address().to_string()],
        customers: customers(),
        chats_per_second: 0.0,
        bookings_per_second: 0.0,
        reads_per_second: 200.0,
        duration: Duration::from_millis(400),
        client_threads: 1,
        ..LoadSettings::default()
    })
    .unwrap();
    let calls = report.calls();
    assert!(calls > 40, "{report}");
    // The last of n requests of 20 ms each ends after n * 20 ms at the earliest, and was due
    // within 400 ms.
    let min_latency_us = calls * 20_000 - 400_000;
    assert!(
        report.service.max_us * 1001 / 1000 >= min_latency_us,
        "{report}"
    );
    service.stop();
}

/// Guards against damaged responses that count as answered.
#[test]
fn damaged_responses_are_not_answers() {
    let damaged = [
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 2\r\n\r\n\
         2\r\n{}\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunkex\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 20\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\n\r\n{}",
        "HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 600 OK\r\ncontent-length: 2\r\n\r\n{}",
    ];
    let ends = |response: &'static str| {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        // Ends with the process.
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                // Reads have no body, and one packet holds their heads.
                stream.read(&mut [0; 4096]).unwrap_or_default();
                stream.write_all(response.as_bytes()).unwrap_or_default();
            }
        });
        let report = run_load(LoadSettings {
            nodes: vec![address.to_string()],
            customers: customers(),
            chats_per_second: 0.0,
            bookings_per_second: 0.0,
            reads_per_second: 50.0,
            duration: Duration::from_millis(200),
            client_threads: 1,
            ..LoadSettings::default()
        })
        .unwrap();
        assert!(report.calls() > 0, "{report}");
        report.outcomes.into_iter().map(|outcome| outcome.end)
    };
    let sound = ends("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
    assert_eq!(sound.collect::<Vec<_>>(), ["answered"]);
    for response in damaged {
        let ends: Vec<String> = ends(response).collect();
        assert_eq!(ends, ["broken"], "{response}");
    }
}

/// Guards against unintended changes of the printed report and against losing violations in JSON.
#[test]
fn the_report_reads_as_text() {
    let (notes, records) = correct_run();
    let mut report = RunReport {
        notes,
        outcomes: vec![OutcomeCount {
            kind: CallKind::Booking,
            end: "answered".to_owned(),
            count: 2,
        }],
        ..RunReport::default()
    };
    report.verify(&[records.clone(), records].concat());
    insta::assert_snapshot!(report);
    let json: RunReport = serde_json::from_str(&report.to_json()).unwrap();
    assert_eq!(json.violations, report.violations);
}
