//! Tests of operators' changes: conflicts, resends, and when a change is in force.

use std::{
    io::Write,
    net::TcpStream,
    sync::{
        Barrier,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use ragwortroad_demo::prelude::*;
use ragwortroad_types::prelude::*;

use crate::common::{
    client::{
        TestCall,
        TestClient,
        violations, //
    },
    fleet::TestFleet,
    operator_history::{
        ChangeRecord,
        ObservedOutcome,
        is_linearizable,
        issue, //
    }, //
};

fn small_plan() -> FleetPlan {
    FleetPlan {
        engines: 0,
        services: 1,
        follow_bound: Duration::from_secs(1),
        ..FleetPlan::default()
    }
}

/// Returns the current revision, as the leader reports it.
fn revision(fleet: &SmallFleet) -> u64 {
    let response = fleet.operator().ask("show changes").unwrap();
    let newest = response.body.pointer("/rows/0/revision");
    newest.and_then(serde_json::Value::as_u64).unwrap()
}

/// Guards against changes that overwrite a change that another operator made on the same revision,
/// and against resends that get another outcome, also after all nodes restarted.
#[test]
fn of_two_changes_on_one_revision_one_is_accepted() {
    let mut fleet = TestFleet::start(small_plan());
    let base = revision(&fleet);
    let mut changes = Vec::new();
    for round in 0..8 {
        changes.extend(race(&fleet, base + round, round));
    }
    assert_eq!(revision(&fleet), base + 8);
    for pair in changes.chunks(2) {
        let accepted = pair
            .iter()
            .filter(|change| matches!(change.operation.end, ObservedOutcome::Accepted(_)));
        assert_eq!(accepted.count(), 1, "{pair:?}");
        let refused = pair
            .iter()
            .find(|change| matches!(change.operation.end, ObservedOutcome::Conflict(_)));
        let text = &refused.expect("one change must be refused").response.text;
        assert!(text.contains("won with 'set multiple"), "{text}");
    }
    let resend = |fleet: &TestFleet, change: &ChangeRecord, number: usize| {
        let mut repeated = None;
        wait_until("an outcome", || {
            let operator = fleet.operator_at(&[number]);
            let edit = edit_for(&change.operation.id);
            let resent = issue(
                &operator,
                &edit,
                change.operation.base,
                &change.operation.id,
            );
            repeated =
                Some(resent).filter(|resent| resent.operation.end != ObservedOutcome::Unknown);
            repeated.is_some()
        })
        .unwrap();
        repeated.unwrap()
    };
    let first = changes.clone();
    for (index, change) in first.iter().enumerate() {
        changes.push(resend(&fleet, change, index % 3));
    }
    fleet.restart_all();
    for (index, change) in first.iter().enumerate() {
        changes.push(resend(&fleet, change, (index + 1) % 3));
    }
    assert_eq!(revision(&fleet), base + 8);
    for change in &changes[first.len()..] {
        let before = first
            .iter()
            .find(|first| first.operation.id == change.operation.id)
            .unwrap();
        assert_eq!(change.operation, before.operation);
    }
    assert!(is_linearizable(&changes, base));

    // The check detects a history in which a refused change was accepted.
    let mut broken = changes.clone();
    let refused = broken
        .iter_mut()
        .find(|change| matches!(change.operation.end, ObservedOutcome::Conflict(_)));
    let refused = refused.unwrap();
    refused.operation.end = ObservedOutcome::Accepted(refused.operation.base + 1);
    assert!(!is_linearizable(&broken, base));
}

/// Sends two operators' changes at the same time, through two nodes.
fn race(fleet: &TestFleet, base: u64, round: u64) -> Vec<ChangeRecord> {
    let start = Barrier::new(2);
    thread::scope(|scope| {
        let threads: Vec<_> = (0..2)
            .map(|index| {
                let operator = fleet.operator_at(&[(round as usize + index) % 3]);
                let start = &start;
                let id = format!("race-{round}-{index}");
                scope.spawn(move || {
                    start.wait();
                    issue(&operator, &edit_for(&id), base, &id)
                })
            })
            .collect();
        let threads = threads.into_iter();
        threads.map(|thread| thread.join().unwrap()).collect()
    })
}

/// Returns an edit that depends only on the change id, so that a resend repeats it.
fn edit_for(id: &str) -> String {
    let digits: String = id.chars().filter(char::is_ascii_digit).collect();
    format!("set multiple 1.{}", digits.parse::<u32>().unwrap() + 100)
}

/// Guards against a resend without a revision that is treated as a new change, after its first
/// response was lost and other changes were made.
#[test]
fn a_resend_without_a_revision_gets_the_first_outcome() {
    let fleet = TestFleet::start(small_plan());
    let base = revision(&fleet);
    let body = r#"{"line":"set multiple 1.7","may_change":true,"change_id":"lost"}"#;
    let mut socket = TcpStream::connect(fleet.address(0)).unwrap();
    let head = format!(
        "POST /v1/operator HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        fleet.operator().key,
        body.len()
    );
    socket.write_all(head.as_bytes()).unwrap();
    wait_until("the change", || revision(&fleet) > base).unwrap();
    drop(socket);
    let invalid = "remove customer nobody-of-this-name";
    let refused = fleet.operator().change(invalid, "refused").unwrap();
    assert_eq!(refused.status, 409, "{refused:?}");
    for step in 0..2 {
        let other = fleet
            .operator()
            .change("set multiple 1.6", &format!("other-{step}"));
        assert_eq!(other.unwrap().status, 200);
    }
    for number in 0..3 {
        let operator = fleet.operator_at(&[number]);
        let repeated = operator.change("set multiple 1.7", "lost").unwrap();
        assert_eq!(repeated.body["revision"], base + 1, "{repeated:?}");
        let repeated = operator.change(invalid, "refused").unwrap();
        assert_eq!(repeated.body, refused.body);
    }
    assert_eq!(revision(&fleet), base + 3);
}

/// Guards against a partitioned node that admits requests by an outdated configuration after the
/// operator was told that the change is in force.
#[test]
fn a_change_in_force_binds_a_partitioned_node() {
    let plan = FleetPlan {
        nodes: 4,
        ..small_plan()
    };
    let fleet = TestFleet::start(plan);
    let leader = fleet.wait_for_leader(&[0, 1, 2]);
    for isolated in [3, (leader + 1) % 3, leader] {
        let customer = isolated;
        let client = TestClient::new(&fleet.plan, customer);
        let others: Vec<usize> = (0..4).filter(|number| *number != isolated).collect();
        wait_until("a response before the partition", || {
            client.read(&fleet.address(isolated)).is_answered()
        })
        .unwrap();
        let stopped = AtomicBool::new(false);
        let (calls, reported) = thread::scope(|scope| {
            let load = scope.spawn(|| {
                let mut calls = Vec::new();
                while !stopped.load(Ordering::Relaxed) {
                    calls.push(client.read(&fleet.address(isolated)));
                    thread::sleep(Duration::from_millis(5));
                }
                calls
            });
            thread::sleep(Duration::from_millis(300));
            fleet.partition(&[isolated]);
            let reported = deny_service(&fleet, &client, &others);
            thread::sleep(Duration::from_secs(1));
            stopped.store(true, Ordering::Relaxed);
            (load.join().unwrap(), reported)
        });
        check_isolated(&calls, reported, &fleet);
        fleet.heal_partition();
        wait_until("the change at the partitioned node", || {
            client.read(&fleet.address(isolated)).code() == Some(RefusalCode::UnknownService)
        })
        .unwrap();
    }
}

/// Denies a customer a service; returns the time at which the change was reported as in force.
fn deny_service(fleet: &TestFleet, client: &TestClient, nodes: &[usize]) -> Instant {
    let line = format!(
        "deny customer {} service {}",
        client.customer, client.service
    );
    let id = format!("deny-{}", client.customer);
    let operator = fleet.operator_at(nodes);
    wait_until("the change in force", || {
        operator
            .change(&line, &id)
            .is_ok_and(|response| response.status == 200)
    })
    .unwrap();
    Instant::now()
}

fn check_isolated(calls: &[TestCall], reported: Instant, fleet: &SmallFleet) {
    let (before, after): (Vec<&TestCall>, Vec<_>) =
        calls.iter().partition(|call| call.called < reported);
    assert!(before.iter().any(|call| call.is_answered()));
    assert!(!after.is_empty());
    for call in after {
        assert!(
            !call.is_answered(),
            "admitted after the change was in force: {call:?}"
        );
        assert_eq!(call.code(), Some(RefusalCode::NotCurrent));
        assert!(call.retry_delay.is_some());
    }
    assert_eq!(violations(calls, fleet), []);
}

/// Guards against a partitioned leader that accepts changes or admits requests after its lease has
/// expired.
#[test]
fn a_partitioned_leader_decides_nothing_after_its_lease() {
    let fleet = TestFleet::start(small_plan());
    let old = fleet.wait_for_leader(&[0, 1, 2]);
    let others: Vec<usize> = (0..3).filter(|number| *number != old).collect();
    let client = TestClient::new(&fleet.plan, 0);
    let base = revision(&fleet);
    fleet.partition(&[old]);
    // The old leader may still hold its lease when this change arrives.
    let early = fleet
        .operator_at(&[old])
        .change("set multiple 1.9", "early")
        .unwrap();
    assert_ne!(early.status, 200, "{early:?}");
    let new = fleet.wait_for_leader(&others);
    assert_ne!(new, old);
    for round in 0..4 {
        let change = format!("set multiple 1.{}", 3 + round);
        wait_until("a change at the new leader", || {
            let id = format!("new-{round}");
            let response = fleet.operator_at(&[new]).change(&change, &id);
            response.is_ok_and(|response| response.status == 200)
        })
        .unwrap();
        let response = fleet
            .operator_at(&[old])
            .change("set multiple 1.9", &format!("old-{round}"));
        let response = response.unwrap();
        assert!(!matches!(response.status, 200 | 202), "{response:?}");
        let mut calls = vec![client.read(&fleet.address(old))];
        calls.push(client.book(&fleet.address(old), &format!("parted-{round}")));
        for call in &calls {
            assert_eq!(call.code(), Some(RefusalCode::NotCurrent), "{call:?}");
        }
        assert_eq!(violations(&calls, &fleet), []);
    }
    fleet.heal_partition();
    wait_until("the old leader's return", || {
        client.read(&fleet.address(old)).is_answered()
    })
    .unwrap();
    for number in 0..3 {
        let response = fleet.operator_at(&[number]).ask("show changes").unwrap();
        let rows = response.body["rows"].as_array().unwrap();
        let ids: Vec<&str> = rows.iter().map(|row| row["id"].as_str().unwrap()).collect();
        assert_eq!(&ids[..4], ["new-3", "new-2", "new-1", "new-0"]);
        assert!(
            !ids.iter()
                .any(|id| id.starts_with("old-") || *id == "early"),
            "{ids:?}"
        );
    }
    assert_eq!(revision(&fleet), base + 4);
}
