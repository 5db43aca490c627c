//! Operators' changes: one winner, first outcomes, in force everywhere.

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

/// The revision now, by the leader's word.
fn revision(fleet: &SmallFleet) -> u64 {
    let answer = fleet.operator().ask("show changes").unwrap();
    let newest = answer.body.pointer("/rows/0/revision");
    newest.and_then(serde_json::Value::as_u64).unwrap()
}

/// Guards against changes that undo what another operator was told is in force.
#[test]
fn two_operators_on_one_revision_have_one_winner() {
    let mut fleet = TestFleet::start(small_plan());
    let base = revision(&fleet);
    let mut notes = Vec::new();
    for round in 0..8 {
        notes.extend(race(&fleet, base + round, round));
    }
    assert_eq!(revision(&fleet), base + 8);
    for pair in notes.chunks(2) {
        let accepted = pair
            .iter()
            .filter(|note| matches!(note.op.end, ObservedOutcome::Accepted(_)));
        assert_eq!(accepted.count(), 1, "{pair:?}");
        let refused = pair
            .iter()
            .find(|note| matches!(note.op.end, ObservedOutcome::Conflict(_)));
        let text = &refused.expect("a refusal").answer.text;
        assert!(text.contains("won with 'set multiple"), "{text}");
    }
    let resend = |fleet: &TestFleet, note: &ChangeRecord, number: usize| {
        let mut again = None;
        wait_until("an outcome", || {
            let operator = fleet.operator_at(&[number]);
            let edit = edit_of(&note.op.id);
            let sent = issue(&operator, &edit, note.op.base, &note.op.id);
            again = Some(sent).filter(|sent| sent.op.end != ObservedOutcome::Unknown);
            again.is_some()
        })
        .unwrap();
        again.unwrap()
    };
    let first = notes.clone();
    for (place, note) in first.iter().enumerate() {
        notes.push(resend(&fleet, note, place % 3));
    }
    fleet.restart_all();
    for (place, note) in first.iter().enumerate() {
        notes.push(resend(&fleet, note, (place + 1) % 3));
    }
    assert_eq!(revision(&fleet), base + 8);
    for note in &notes[first.len()..] {
        let before = first
            .iter()
            .find(|first| first.op.id == note.op.id)
            .unwrap();
        assert_eq!(note.op, before.op);
    }
    assert!(is_linearizable(&notes, base));

    // A history in which both won, or a resend changed its outcome, is noticed.
    let mut broken = notes.clone();
    let refused = broken
        .iter_mut()
        .find(|note| matches!(note.op.end, ObservedOutcome::Conflict(_)));
    let refused = refused.unwrap();
    refused.op.end = ObservedOutcome::Accepted(refused.op.base + 1);
    assert!(!is_linearizable(&broken, base));
}

/// Two operators' changes at one moment, at two nodes.
fn race(fleet: &TestFleet, base: u64, round: u64) -> Vec<ChangeRecord> {
    let start = Barrier::new(2);
    thread::scope(|scope| {
        let threads: Vec<_> = (0..2)
            .map(|side| {
                let operator = fleet.operator_at(&[(round as usize + side) % 3]);
                let start = &start;
                let id = format!("race-{round}-{side}");
                scope.spawn(move || {
                    start.wait();
                    issue(&operator, &edit_of(&id), base, &id)
                })
            })
            .collect();
        let threads = threads.into_iter();
        threads.map(|thread| thread.join().unwrap()).collect()
    })
}

/// An edit that depends on the change's id only, as a resend repeats it.
fn edit_of(id: &str) -> String {
    let digits: String = id.chars().filter(char::is_ascii_digit).collect();
    format!("set multiple 1.{}", digits.parse::<u32>().unwrap() + 100)
}

/// Guards against a resend that is taken for another change.
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
        let again = operator.change("set multiple 1.7", "lost").unwrap();
        assert_eq!(again.body["revision"], base + 1, "{again:?}");
        let again = operator.change(invalid, "refused").unwrap();
        assert_eq!(again.body, refused.body);
    }
    assert_eq!(revision(&fleet), base + 3);
}

/// Guards against a node that admits by an old configuration while it is cut off.
#[test]
fn a_change_in_force_binds_a_node_that_is_cut_off() {
    let plan = FleetPlan {
        nodes: 4,
        ..small_plan()
    };
    let fleet = TestFleet::start(plan);
    let leader = fleet.wait_for_leader(&[0, 1, 2]);
    for cut in [3, (leader + 1) % 3, leader] {
        let customer = cut;
        let caller = TestClient::new(&fleet.plan, customer);
        let others: Vec<usize> = (0..4).filter(|number| *number != cut).collect();
        wait_until("service before the cut", || {
            caller.read(&fleet.address(cut)).is_answered()
        })
        .unwrap();
        let stops = AtomicBool::new(false);
        let (calls, reported) = thread::scope(|scope| {
            let load = scope.spawn(|| {
                let mut calls = Vec::new();
                while !stops.load(Ordering::Relaxed) {
                    calls.push(caller.read(&fleet.address(cut)));
                    thread::sleep(Duration::from_millis(5));
                }
                calls
            });
            thread::sleep(Duration::from_millis(300));
            fleet.partition(&[cut]);
            let reported = deny(&fleet, &caller, &others);
            thread::sleep(Duration::from_secs(1));
            stops.store(true, Ordering::Relaxed);
            (load.join().unwrap(), reported)
        });
        check_cut_off(&calls, reported, &fleet);
        fleet.heal_partition();
        wait_until("the change at the node that was cut off", || {
            caller.read(&fleet.address(cut)).code() == Some(RefusalCode::UnknownService)
        })
        .unwrap();
    }
}

/// Takes a service from a customer; returns when the change was reported in force.
fn deny(fleet: &TestFleet, caller: &TestClient, asked: &[usize]) -> Instant {
    let line = format!(
        "deny customer {} service {}",
        caller.customer, caller.service
    );
    let id = format!("deny-{}", caller.customer);
    let operator = fleet.operator_at(asked);
    wait_until("the change in force", || {
        operator
            .change(&line, &id)
            .is_ok_and(|answer| answer.status == 200)
    })
    .unwrap();
    Instant::now()
}

fn check_cut_off(calls: &[TestCall], reported: Instant, fleet: &SmallFleet) {
    let (before, after): (Vec<&TestCall>, Vec<_>) =
        calls.iter().partition(|call| call.called < reported);
    assert!(before.iter().any(|call| call.is_answered()));
    assert!(!after.is_empty());
    for call in after {
        assert!(
            !call.is_answered(),
            "admitted after it was in force: {call:?}"
        );
        assert_eq!(call.code(), Some(RefusalCode::NotCurrent));
        assert!(call.has_retry_delay);
    }
    assert_eq!(violations(calls, fleet), []);
}

/// Guards against a leader that accepts changes and admits callers after its lease.
#[test]
fn a_leader_cut_off_for_long_decides_nothing() {
    let fleet = TestFleet::start(small_plan());
    let old = fleet.wait_for_leader(&[0, 1, 2]);
    let others: Vec<usize> = (0..3).filter(|number| *number != old).collect();
    let caller = TestClient::new(&fleet.plan, 0);
    let base = revision(&fleet);
    fleet.partition(&[old]);
    // The old leader may still have its lease when this one arrives.
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
            let answer = fleet.operator_at(&[new]).change(&change, &id);
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .unwrap();
        let answer = fleet
            .operator_at(&[old])
            .change("set multiple 1.9", &format!("old-{round}"));
        let answer = answer.unwrap();
        assert!(!matches!(answer.status, 200 | 202), "{answer:?}");
        let mut calls = vec![caller.read(&fleet.address(old))];
        calls.push(caller.book(&fleet.address(old), &format!("parted-{round}")));
        for call in &calls {
            assert_eq!(call.code(), Some(RefusalCode::NotCurrent), "{call:?}");
        }
        assert_eq!(violations(&calls, &fleet), []);
    }
    fleet.heal_partition();
    wait_until("the old leader's return", || {
        caller.read(&fleet.address(old)).is_answered()
    })
    .unwrap();
    for number in 0..3 {
        let answer = fleet.operator_at(&[number]).ask("show changes").unwrap();
        let rows = answer.body["rows"].as_array().unwrap();
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
