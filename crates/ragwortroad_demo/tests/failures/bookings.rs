//! Tests of bookings, which may run at most once.

use std::{
    sync::Barrier,
    thread,
    time::Duration, //
};

use ragwortroad_demo::prelude::*;
use ragwortroad_load::prelude::*;
use ragwortroad_standin::prelude::*;
use ragwortroad_types::prelude::*;

use crate::common::{
    booking_history::{
        KeyEvent,
        KeyOperation,
        is_linearizable,
        key_events,
        nonlinearizable_keys, //
    },
    client::{
        TestCall,
        TestClient,
        violations, //
    },
    fleet::TestFleet, //
};

fn booking_plan() -> FleetPlan {
    FleetPlan {
        engines: 0,
        ..FleetPlan::default()
    }
}

/// Sends the same booking through all nodes at the same time.
fn book_everywhere(fleet: &TestFleet, client: &TestClient, key: &str) -> Vec<TestCall> {
    let count = fleet.nodes.len();
    let start = Barrier::new(count);
    thread::scope(|scope| {
        let threads: Vec<_> = (0..count)
            .map(|number| {
                let address = fleet.address(number);
                let start = &start;
                scope.spawn(move || {
                    start.wait();
                    client.book(&address, key)
                })
            })
            .collect();
        let threads = threads.into_iter();
        threads.map(|thread| thread.join().unwrap()).collect()
    })
}

/// Asserts that there are no violations and that the history of each key is linearizable.
fn assert_consistent(calls: &[TestCall], fleet: &SmallFleet) {
    assert_eq!(violations(calls, fleet), []);
    assert_eq!(nonlinearizable_keys(calls, fleet), Vec::<String>::new());
}

fn runs_of(fleet: &SmallFleet, key: &str) -> usize {
    let records = fleet.records().into_iter();
    let of_key = records.filter(|record| record.idempotency_key.as_deref() == Some(key));
    of_key.count()
}

/// Guards against bookings that run twice when they are sent through every node at once, or again
/// after all nodes restarted.
#[test]
fn a_booking_sent_through_all_nodes_at_once_runs_once() {
    let mut fleet = TestFleet::start(booking_plan());
    let client = TestClient::new(&fleet.plan, 0);
    let keys: Vec<String> = (0..12).map(|number| format!("at-once-{number}")).collect();
    let mut calls = Vec::new();
    for key in &keys {
        calls.extend(book_everywhere(&fleet, &client, key));
    }
    for (index, key) in keys.iter().enumerate() {
        let address = fleet.address(index % 3);
        calls.push(client.book_until_success(&address, key));
        assert_eq!(runs_of(&fleet, key), 1, "{key}");
    }
    fleet.restart_all();
    for (index, key) in keys.iter().enumerate() {
        let address = fleet.address((index + 1) % 3);
        let call = client.book_until_success(&address, key);
        calls.push(call);
    }
    assert_consistent(&calls, &fleet);
}

/// Guards against bookings that run again, or are reported as not run, after their node crashed
/// between dispatch and response.
#[test]
fn a_node_killed_between_dispatch_and_answer_leaves_one_run() {
    for kills_leader in [false, true] {
        let mut fleet = TestFleet::start(booking_plan());
        let client = TestClient::new(&fleet.plan, 1);
        let leader = fleet.wait_for_leader(&[0, 1, 2]);
        let killed = match kills_leader {
            true => leader,
            false => (leader + 1) % 3,
        };
        for service in fleet.services.iter().flatten() {
            service.set_faults(FaultPlan {
                response_delay: Duration::from_secs(2),
                ..FaultPlan::default()
            });
        }
        let address = fleet.address(killed);
        let first = thread::spawn({
            let client = client.clone();
            move || client.book(&address, "cut")
        });
        wait_until("the booking's run", || runs_of(&fleet, "cut") == 1).unwrap();
        fleet.crash_node(killed);
        let mut calls = vec![first.join().unwrap()];
        assert!(!calls[0].is_answered());
        let others: Vec<usize> = (0..3).filter(|number| *number != killed).collect();
        wait_until("the outcome of the interrupted booking", || {
            let call = client.book(&fleet.address(others[calls.len() % 2]), "cut");
            let end = call.record.end.clone();
            calls.push(call);
            let not_run = matches!(end, ClientOutcome::Refused(RequestOutcome::NotRun, code)
                if !matches!(code, RefusalCode::ClaimUnavailable | RefusalCode::NotCurrent));
            assert!(!not_run, "{end:?}");
            matches!(end, ClientOutcome::Refused(_, code) if code != RefusalCode::KeyInProgress
                && code != RefusalCode::ClaimUnavailable && code != RefusalCode::NotCurrent)
        })
        .unwrap_or_else(|error| panic!("leader crashed: {kills_leader}: {error}: {calls:?}"));
        let last = calls.last().unwrap();
        let unknown = matches!(
            last.record.end,
            ClientOutcome::Refused(RequestOutcome::Unknown, _)
        );
        assert!(unknown, "{:?}", last.record.end);
        fleet.restart_node(killed).unwrap();
        calls.push(client.book(&fleet.address(killed), "cut"));
        assert!(!calls.last().unwrap().is_answered());
        assert_eq!(runs_of(&fleet, "cut"), 1);
        assert_consistent(&calls, &fleet);
    }
}

/// Guards against bookings that another node runs after their node was lost, although it can't
/// know whether they already ran.
#[test]
fn a_node_lost_between_claim_and_dispatch_runs_nothing() {
    let mut fleet = TestFleet::start(booking_plan());
    let client = TestClient::new(&fleet.plan, 2);
    let mut calls = Vec::new();
    let mut found = None;
    // The claim must reach the paused leader before the partition; otherwise the test retries.
    for number in 0..10 {
        let key = format!("claimed-{number}");
        let leader = fleet.wait_for_leader(&[0, 1, 2]);
        let lost = (leader + 1) % 3;
        let freeze = fleet.nodes[leader].as_ref().unwrap().freeze();
        let first = thread::spawn({
            let (client, address, key) = (client.clone(), fleet.address(lost), key.clone());
            move || client.book(&address, &key)
        });
        thread::sleep(Duration::from_millis(150));
        fleet.partition(&[lost]);
        drop(freeze);
        fleet.crash_node(lost);
        calls.push(first.join().unwrap());
        fleet.heal_partition();
        let call = client.book(&fleet.address(leader), &key);
        let is_held = matches!(call.code(), Some(RefusalCode::KeyInProgress));
        calls.push(call);
        fleet.restart_node(lost).unwrap();
        wait_until("the lost node's return", || {
            client.read(&fleet.address(lost)).is_answered()
        })
        .unwrap();
        if is_held {
            found = Some((key, lost));
            break;
        }
    }
    let (key, lost) = found.expect("no claim outlived its node");
    for number in [lost, (lost + 1) % 3, (lost + 2) % 3] {
        let call = client.book(&fleet.address(number), &key);
        let unknown = matches!(
            call.record.end,
            ClientOutcome::Refused(RequestOutcome::Unknown, _)
        );
        assert!(unknown, "{:?}", call.record.end);
        calls.push(call);
    }
    assert_eq!(runs_of(&fleet, &key), 0);
    assert_consistent(&calls, &fleet);
}

/// Guards against checks that miss a second run, a response before its run, or the response of
/// another run.
#[test]
fn the_booking_checks_detect_faulty_histories() {
    let fleet = TestFleet::start(booking_plan());
    let client = TestClient::new(&fleet.plan, 0);
    let mut calls = Vec::new();
    for number in 0..3 {
        let key = format!("sound-{number}");
        calls.extend(book_everywhere(&fleet, &client, &key));
        calls.push(client.book_until_success(&fleet.address(number), &key));
    }
    assert_consistent(&calls, &fleet);

    let histories = key_events(&calls, &fleet);
    let mut crossed = calls.clone();
    let run = crossed.last().unwrap().run.clone();
    crossed[2].run = run;
    assert_eq!(nonlinearizable_keys(&crossed, &fleet), ["sound-0"]);

    let mut stale: Vec<KeyEvent> = histories[0].1.clone();
    let first_run = stale
        .iter()
        .find(|event| matches!(event.what, KeyOperation::Run(_)));
    let before = first_run.unwrap().from - Duration::from_millis(1);
    let response = stale
        .iter_mut()
        .find(|event| matches!(event.what, KeyOperation::Answer(_)));
    let response = response.unwrap();
    (response.from, response.until) = (before, Some(before));
    assert!(!is_linearizable(&stale));

    let line = format!(
        "set service {} idempotent POST /bookings",
        fleet.plan.service
    );
    assert_eq!(
        fleet.operator().change(&line, "no-claims").unwrap().status,
        200
    );
    let unclaimed: Vec<TestCall> = (0..3)
        .map(|number| client.book(&fleet.address(number), "unclaimed"))
        .collect();
    let found = violations(&unclaimed, &fleet);
    let is_repeat = |violation: &RunViolation| matches!(violation, RunViolation::RanTwice { .. });
    assert!(found.iter().any(is_repeat), "{found:?}");
    assert_eq!(nonlinearizable_keys(&unclaimed, &fleet), ["unclaimed"]);
}
