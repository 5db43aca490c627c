//! Tests of members of the replicated state with lost disks, long outages and full disks.

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

/// Whether three members are voters and have applied the same entries; a member that lost its data
/// folder has not.
fn is_fully_replicated(fleet: &SmallFleet, nodes: &[usize]) -> bool {
    let operator = fleet.operator_at(nodes);
    let Ok(response) = operator.ask("show members where state = voter") else {
        return false;
    };
    let rows = response.body.get("rows").and_then(Value::as_array);
    let applied = rows
        .into_iter()
        .flatten()
        .map(|row| row.get("applied")?.as_u64());
    let applied: Option<Vec<u64>> = applied.collect();
    applied
        .is_some_and(|applied| applied.len() == 3 && applied.iter().min() == applied.iter().max())
}

/// Whether `show changes` at this node lists the change.
fn knows_change(fleet: &SmallFleet, node: usize, id: &str) -> bool {
    let line = format!("show changes where id = {id}");
    let response = fleet.operator_at(&[node]).ask(&line);
    let response = response.ok();
    let rows = response.and_then(|response| Some(response.body.get("rows")?.as_array()?.len()));
    rows == Some(1)
}

fn change(fleet: &SmallFleet, nodes: &[usize], id: &str, number: usize) {
    let operator = fleet.operator_at(nodes);
    let line = format!("set multiple 1.{}", 100 + number % 800);
    wait_until(id, || {
        let response = operator.change(&line, id);
        response.is_ok_and(|response| response.status == 200)
    })
    .unwrap();
}

/// Guards against lost changes and bookings when disks are lost one after another: a member that
/// votes before it is fully replicated again can complete a quorum without them.
#[test]
fn disks_lost_one_after_another_lose_no_data() {
    let mut fleet = TestFleet::start(state_plan());
    let client = TestClient::new(&fleet.plan, 0);
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
            calls.push(client.book_until_success(&fleet.address(step), &key));
        }
        fleet.crash_node(lost);
        fleet.delete_data_folder(lost).unwrap();
        let others: Vec<usize> = (0..3).filter(|number| *number != lost).collect();
        ids.push(format!("without-{round}"));
        change(&fleet, &others, ids.last().unwrap(), ids.len());
        fleet.restart_node(lost).unwrap();
        wait_until("the new member", || is_fully_replicated(&fleet, &others)).unwrap();
    }
    assert_all_kept(&fleet, &client, &mut calls, &ids);
    fleet.restart_all();
    assert_all_kept(&fleet, &client, &mut calls, &ids);
    assert_eq!(violations(&calls, &fleet), []);
    assert_eq!(nonlinearizable_keys(&calls, &fleet), Vec::<String>::new());
}

/// Asserts that each node knows every change and answers an earlier booking again.
fn assert_all_kept(
    fleet: &TestFleet,
    client: &TestClient,
    calls: &mut Vec<TestCall>,
    ids: &[String],
) {
    for number in 0..3 {
        for id in ids {
            wait_until(id, || knows_change(fleet, number, id)).unwrap();
        }
        calls.push(client.book_until_success(&fleet.address(number), &ids[number]));
    }
}

/// Guards against changes that are lost or reverted after a member was down for 400 changes.
#[test]
fn a_member_restarted_after_400_changes_catches_up() {
    const CHANGES: usize = 400;
    let mut fleet = TestFleet::start(state_plan());
    let leader = fleet.wait_for_leader(&[0, 1, 2]);
    let (lagging, third) = ((leader + 1) % 3, (leader + 2) % 3);
    fleet.crash_node(lagging);
    let operator = fleet.operator_at(&[leader]);
    let first = revision(&fleet, leader);
    let threads: Vec<_> = (0..CHANGES)
        .map(|number| {
            let operator = operator.clone();
            let base = first + number as u64;
            // Each operator waits until its change is in force; the next change doesn't wait for
            // that.
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
    fleet.restart_node(lagging).unwrap();
    wait_until("the member that was down", || {
        is_fully_replicated(&fleet, &[lagging])
    })
    .unwrap();
    fleet.crash_node(third);
    wait_until("all changes at the remaining members", || {
        revision(&fleet, lagging) == wanted
    })
    .unwrap();
    fleet.crash_node(leader);
    fleet.restart_node(third).unwrap();
    // Without the old leader, the member that was down may become the leader.
    wait_until("all changes without the old leader", || {
        revision(&fleet, third) == wanted && revision(&fleet, lagging) == wanted
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
        assert!(knows_change(&fleet, lagging, &format!("many-{number}")));
    }
    let config = fleet.operator_at(&[lagging]).ask("show config").unwrap();
    assert!(config.text.contains("1.499"), "{}", config.text);
}

/// Waits for a revision with a short poll interval, since the test does so hundreds of times.
fn wait_for_revision(operator: &OperatorClient, wanted: u64) {
    let line = format!("show changes where revision = {wanted}");
    for _ in 0..10_000 {
        let response = operator.ask(&line).unwrap();
        if response.body.pointer("/rows/0").is_some() {
            return;
        }
        thread::sleep(Duration::from_millis(3));
    }
    panic!("timed out waiting for revision {wanted}");
}

/// Guards against members that acknowledge entries they can't store, and against processes that
/// exit when their disk is full.
#[test]
fn a_full_disk_stops_acknowledgements_but_not_the_process() {
    let mut fleet = TestFleet::start(state_plan());
    let client = TestClient::new(&fleet.plan, 0);
    let full_member = fleet.wait_for_leader(&[0, 1, 2]);
    let (third, other) = ((full_member + 1) % 3, (full_member + 2) % 3);
    let folder = fleet.settings[full_member]
        .state
        .data_folder
        .clone()
        .unwrap();
    fleet.crash_node(full_member);
    let used_bytes = std::fs::read_dir(&folder)
        .unwrap()
        .map(|item| item.unwrap().metadata().unwrap().len());
    let used_bytes: u64 = used_bytes.sum();
    fleet.settings[full_member].state.data_quota = Some(used_bytes + 12_000);
    fleet.restart_node(full_member).unwrap();
    wait_until("the member with little disk space", || {
        is_fully_replicated(&fleet, &[full_member])
    })
    .unwrap();
    let mut calls = Vec::new();
    for number in 0..60 {
        let address = fleet.address(number % 3);
        calls.push(client.book_until_success(&address, &format!("full-{number}")));
    }
    assert!(!is_fully_replicated(&fleet, &[third, other]));
    assert!(client.read(&fleet.address(full_member)).is_answered());

    fleet.crash_node(third);
    wait_until("the refusal of all claims", || {
        let call = client.book(&fleet.address(other), &format!("none-{}", calls.len()));
        let is_refused = call.code() == Some(RefusalCode::ClaimUnavailable)
            || call.code() == Some(RefusalCode::NotCurrent);
        calls.push(call);
        is_refused
    })
    .unwrap();
    for number in [full_member, other] {
        let call = client.book(&fleet.address(number), &format!("no-quorum-{number}"));
        let not_run = matches!(
            call.record.end,
            ClientOutcome::Refused(RequestOutcome::NotRun, _)
        );
        assert!(not_run && call.retry_delay.is_some(), "{call:?}");
        calls.push(call);
    }
    fleet.restart_node(third).unwrap();
    fleet.crash_node(full_member);
    fleet.settings[full_member].state.data_quota = None;
    fleet.restart_node(full_member).unwrap();
    wait_until("the member with free disk space", || {
        is_fully_replicated(&fleet, &[full_member])
    })
    .unwrap();
    for number in 0..3 {
        let address = fleet.address(number);
        calls.push(client.book_until_success(&address, &format!("full-{number}")));
    }
    assert_eq!(violations(&calls, &fleet), []);
    assert_eq!(nonlinearizable_keys(&calls, &fleet), Vec::<String>::new());
}

/// Returns the newest revision that the leader reports, queried through one node; 0 if there is no
/// revision or no response.
fn revision(fleet: &SmallFleet, node: usize) -> u64 {
    let response = fleet.operator_at(&[node]).ask("show changes");
    let response = response.ok();
    let newest = response.and_then(|response| response.body.pointer("/rows/0/revision")?.as_u64());
    newest.unwrap_or(0)
}
