//! Members of the replicated state: lost disks, long absences, full disks.

use std::{
    thread,
    time::Duration, //
};

use ragwortroad_demo::prelude::*;
use ragwortroad_load::prelude::*;
use ragwortroad_types::prelude::*;
use serde_json::Value;

use crate::common::{
    booking_history::nonlinearizable_keys,
    client::{
        TestCall,
        TestClient,
        violations, //
    },
    fleet::TestFleet, //
};

fn state_plan() -> FleetPlan {
    FleetPlan {
        engines: 0,
        services: 1,
        follow_bound: Duration::from_secs(1),
        ..FleetPlan::default()
    }
}

/// Whether three members count in quorums and have the same entries, which a lost folder has not.
fn is_fully_replicated(fleet: &SmallFleet, asked: &[usize]) -> bool {
    let operator = fleet.operator_at(asked);
    let Ok(answer) = operator.ask("show members where state = voter") else {
        return false;
    };
    let rows = answer.body.get("rows").and_then(Value::as_array);
    let applied = rows
        .into_iter()
        .flatten()
        .map(|row| row.get("applied")?.as_u64());
    let applied: Option<Vec<u64>> = applied.collect();
    applied
        .is_some_and(|applied| applied.len() == 3 && applied.iter().min() == applied.iter().max())
}

/// Whether this node itself has this change in force or its state knows it.
fn knows_change(fleet: &SmallFleet, asked: usize, id: &str) -> bool {
    let line = format!("show changes where id = {id}");
    let answer = fleet.operator_at(&[asked]).ask(&line);
    let answer = answer.ok();
    let rows = answer.and_then(|answer| Some(answer.body.get("rows")?.as_array()?.len()));
    rows == Some(1)
}

fn change(fleet: &SmallFleet, asked: &[usize], id: &str, number: usize) {
    let operator = fleet.operator_at(asked);
    let line = format!("set multiple 1.{}", 100 + number % 800);
    wait_until(id, || {
        let answer = operator.change(&line, id);
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .unwrap();
}

/// Guards against a member that votes before it holds everything again.
#[test]
fn two_disks_lost_one_after_the_other_lose_nothing() {
    let mut fleet = TestFleet::start(state_plan());
    let caller = TestClient::new(&fleet.plan, 0);
    let mut calls = Vec::new();
    let mut ids = Vec::new();
    let leader = fleet.wait_for_leader(&[0, 1, 2]);
    for (round, lost) in [(leader + 1) % 3, leader, (leader + 2) % 3]
        .into_iter()
        .enumerate()
    {
        for step in 0..3 {
            ids.push(format!("kept-{round}-{step}"));
            change(&fleet, &[0, 1, 2], ids.last().unwrap(), ids.len());
            let key = format!("kept-{round}-{step}");
            calls.push(caller.book_until_success(&fleet.address(step), &key));
        }
        fleet.crash_node(lost);
        fleet.delete_data_folder(lost).unwrap();
        let others: Vec<usize> = (0..3).filter(|number| *number != lost).collect();
        ids.push(format!("without-{round}"));
        change(&fleet, &others, ids.last().unwrap(), ids.len());
        fleet.restart_node(lost).unwrap();
        wait_until("the new member", || is_fully_replicated(&fleet, &others)).unwrap();
    }
    assert_all_kept(&fleet, &caller, &mut calls, &ids);
    fleet.restart_all();
    assert_all_kept(&fleet, &caller, &mut calls, &ids);
    assert_eq!(violations(&calls, &fleet), []);
    assert_eq!(nonlinearizable_keys(&calls, &fleet), Vec::<String>::new());
}

/// Every change is known at each node, and every booking is answered again.
fn assert_all_kept(
    fleet: &TestFleet,
    caller: &TestClient,
    calls: &mut Vec<TestCall>,
    ids: &[String],
) {
    for number in 0..3 {
        for id in ids {
            wait_until(id, || knows_change(fleet, number, id)).unwrap();
        }
        calls.push(caller.book_until_success(&fleet.address(number), &ids[number]));
    }
}

/// Guards against changes that are gone or reverted after a member was away.
#[test]
fn a_member_restarted_after_400_changes_catches_up() {
    const CHANGES: usize = 400;
    let mut fleet = TestFleet::start(state_plan());
    let leader = fleet.wait_for_leader(&[0, 1, 2]);
    let (late, third) = ((leader + 1) % 3, (leader + 2) % 3);
    fleet.crash_node(late);
    let operator = fleet.operator_at(&[leader]);
    let first = revision(&fleet, leader);
    let threads: Vec<_> = (0..CHANGES)
        .map(|number| {
            let operator = operator.clone();
            let base = first + number as u64;
            // Whoever asks waits for "in force"; the next operator does not wait for that.
            wait_for_revision(&operator, base);
            thread::spawn(move || {
                let line = format!("set multiple 1.{} on revision {base}", 100 + number);
                operator
                    .change(&line, &format!("many-{number}"))
                    .unwrap()
                    .status
            })
        })
        .collect();
    for thread in threads {
        assert!(matches!(thread.join().unwrap(), 200 | 202));
    }
    let wanted = first + CHANGES as u64;
    fleet.restart_node(late).unwrap();
    wait_until("the member that was away", || {
        is_fully_replicated(&fleet, &[late])
    })
    .unwrap();
    fleet.crash_node(third);
    wait_until("all changes at the rest", || {
        revision(&fleet, late) == wanted
    })
    .unwrap();
    fleet.crash_node(leader);
    fleet.restart_node(third).unwrap();
    // Without the old leader, the member that was away may have to lead.
    wait_until("all changes without the old leader", || {
        revision(&fleet, third) == wanted && revision(&fleet, late) == wanted
    })
    .unwrap();
    fleet.restart_all();
    for number in 0..3 {
        wait_until("all changes after the restart", || {
            revision(&fleet, number) == wanted
        })
        .unwrap();
    }
    for number in [0, CHANGES / 2, CHANGES - 1] {
        assert!(knows_change(&fleet, late, &format!("many-{number}")));
    }
    let config = fleet.operator_at(&[late]).ask("show config").unwrap();
    assert!(config.text.contains("1.499"), "{}", config.text);
}

/// Waits for a revision with short pauses, as it comes about hundreds of times.
fn wait_for_revision(operator: &OperatorClient, wanted: u64) {
    let line = format!("show changes where revision = {wanted}");
    for _ in 0..10_000 {
        let answer = operator.ask(&line).unwrap();
        if answer.body.pointer("/rows/0").is_some() {
            return;
        }
        thread::sleep(Duration::from_millis(3));
    }
    panic!("revision {wanted} did not come about");
}

/// Guards against acknowledgements without a disk, and processes that end when theirs is full.
#[test]
fn a_full_disk_stops_acknowledgements_and_not_the_process() {
    let mut fleet = TestFleet::start(state_plan());
    let caller = TestClient::new(&fleet.plan, 0);
    let full = fleet.wait_for_leader(&[0, 1, 2]);
    let (third, other) = ((full + 1) % 3, (full + 2) % 3);
    let folder = fleet.settings[full].state.data_folder.clone().unwrap();
    fleet.crash_node(full);
    let taken = std::fs::read_dir(&folder)
        .unwrap()
        .map(|item| item.unwrap().metadata().unwrap().len());
    let taken: u64 = taken.sum();
    fleet.settings[full].state.data_quota = Some(taken + 12_000);
    fleet.restart_node(full).unwrap();
    wait_until("the member with little room", || {
        is_fully_replicated(&fleet, &[full])
    })
    .unwrap();
    let mut calls = Vec::new();
    for number in 0..60 {
        let address = fleet.address(number % 3);
        calls.push(caller.book_until_success(&address, &format!("full-{number}")));
    }
    assert!(!is_fully_replicated(&fleet, &[third, other]));
    assert!(caller.read(&fleet.address(full)).is_answered());

    fleet.crash_node(third);
    wait_until("the end of all claims", || {
        let call = caller.book(&fleet.address(other), &format!("none-{}", calls.len()));
        let is_refused = call.code() == Some(RefusalCode::ClaimUnavailable)
            || call.code() == Some(RefusalCode::NotCurrent);
        calls.push(call);
        is_refused
    })
    .unwrap();
    for number in [full, other] {
        let call = caller.book(&fleet.address(number), &format!("no-quorum-{number}"));
        let not_run = matches!(
            call.note.end,
            ClientOutcome::Refused(RequestOutcome::NotRun, _)
        );
        assert!(not_run && call.has_retry_delay, "{call:?}");
        calls.push(call);
    }
    fleet.restart_node(third).unwrap();
    fleet.crash_node(full);
    fleet.settings[full].state.data_quota = None;
    fleet.restart_node(full).unwrap();
    wait_until("the member with room again", || {
        is_fully_replicated(&fleet, &[full])
    })
    .unwrap();
    for number in 0..3 {
        let address = fleet.address(number);
        calls.push(caller.book_until_success(&address, &format!("full-{number}")));
    }
    assert_eq!(violations(&calls, &fleet), []);
    assert_eq!(nonlinearizable_keys(&calls, &fleet), Vec::<String>::new());
}

/// The newest revision by the word of the leader, asked through one node; 0 if there is none.
fn revision(fleet: &SmallFleet, asked: usize) -> u64 {
    let answer = fleet.operator_at(&[asked]).ask("show changes");
    let answer = answer.ok();
    let newest = answer.and_then(|answer| answer.body.pointer("/rows/0/revision")?.as_u64());
    newest.unwrap_or(0)
}
