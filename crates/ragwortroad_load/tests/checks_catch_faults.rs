//! Each check catches a fleet that is broken in the way it is meant for.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use ragwortroad_load::prelude::*;
use ragwortroad_standin::prelude::*;
use ragwortroad_types::prelude::*;

fn record(request_id: &str, key: Option<&str>) -> RunRecord {
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

fn attempt(request_id: &str, outcome: Option<RequestOutcome>) -> AttemptRecord {
    AttemptRecord {
        address: "192.0.2.1:80".to_owned(),
        request_id: Some(request_id.to_owned()),
        status: Some(200),
        outcome,
        code: None,
    }
}

fn note(kind: CallKind, request_id: &str, key: Option<&str>) -> CallRecord {
    CallRecord {
        kind,
        customer: "north".to_owned(),
        key: key.map(str::to_owned),
        attempts: vec![attempt(request_id, None)],
        end: ClientOutcome::Answered,
        first_token_us: None,
        total_us: 10,
        cached_tokens: 0,
        prompt_tokens: 0,
        answer_hash: Some(5),
    }
}

/// A booking that was refused once, ran at the second try, and was sent again later.
fn good_run() -> (Vec<CallRecord>, Vec<RunRecord>) {
    let mut first = note(CallKind::Booking, "b", Some("k"));
    first
        .attempts
        .insert(0, attempt("a", Some(RequestOutcome::NotRun)));
    let again = note(CallKind::Resend, "c", Some("k"));
    (vec![first, again], vec![record("b", Some("k"))])
}

#[test]
fn a_good_run_has_no_violation() {
    let (notes, records) = good_run();
    assert_eq!(verify_run(&notes, &records), []);
}

#[test]
fn each_broken_run_has_its_violation() {
    // Fleets that book twice, lie about what ran, answer without running, answer differently, or
    // let one studio's request pass as another's.
    type Spoil = fn(&mut Vec<CallRecord>, &mut Vec<RunRecord>);
    let (customer, key) = ("north".to_owned(), "k".to_owned());
    let cases: Vec<(Spoil, RunViolation)> = vec![
        (
            |_, records| records.push(record("c", Some("k"))),
            RunViolation::RanTwice {
                customer: customer.clone(),
                key: key.clone(),
                runs: 2,
            },
        ),
        (
            |_, records| records.push(record("a", None)),
            RunViolation::RanThoughRefused {
                request_id: "a".to_owned(),
                endpoint: "desk-1".to_owned(),
            },
        ),
        (
            |notes, _| notes.push(note(CallKind::Booking, "d", Some("k2"))),
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
                let mut other = note(CallKind::Read, "e", None);
                other.customer = "south".to_owned();
                notes.push(other);
                records.push(record("e", None));
            },
            RunViolation::WrongCustomer {
                request_id: "e".to_owned(),
            },
        ),
    ];
    for (spoil, violation) in cases {
        let (mut notes, mut records) = good_run();
        spoil(&mut notes, &mut records);
        assert_eq!(verify_run(&notes, &records), [violation]);
    }
}

#[test]
fn an_answer_that_is_not_whole_or_not_own_is_told() {
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
    for place in 0..tokens.len() {
        assert_eq!(
            check.check_text(&tokens[..place].concat()),
            Err(ResponseFault::Short)
        );
        let mut doubled = tokens.clone();
        doubled.insert(place, tokens[place].clone());
        assert!(check.check_text(&doubled.concat()).is_err());
        let mut lacking = tokens.clone();
        lacking.remove(place);
        assert!(check.check_text(&lacking.concat()).is_err());
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

#[test]
fn a_fleet_that_repeats_bookings_is_caught_over_sockets() {
    // The callers reach the service with nothing between that remembers keys, so each booking that
    // is sent again runs again.
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
    let twice = |violation: &&RunViolation| matches!(violation, RunViolation::RanTwice { .. });
    assert!(
        report.violations.iter().filter(twice).count() > 3,
        "{report}"
    );
}

#[test]
fn a_queue_behind_a_slow_answer_counts_into_latency() {
    // One caller at work, and every answer takes 20 ms, while 200 a second become due. A closed
    // loop would report 20 ms for each; the last ones in fact waited far longer.
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
    // The last of n calls of 20 ms cannot be over before n * 20 ms, and was due within 400 ms.
    let least = calls * 20_000 - 400_000;
    assert!(report.service.max_us * 1001 / 1000 >= least, "{report}");
    service.stop();
}

#[test]
fn the_report_reads_as_text() {
    let (notes, records) = good_run();
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
