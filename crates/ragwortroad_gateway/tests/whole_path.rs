//! Clients, endpoints and operators through one gateway, with and without endpoint faults.
#![allow(clippy::unwrap_used)]

mod common;

use std::{
    sync::atomic::{
        AtomicBool,
        Ordering, //
    },
    thread,
    time::Duration, //
};

use common::test_fleet::{
    TestFleet,
    chat_body,
    is_own_response, //
};
use ragwortroad_gateway::prelude::*;
use ragwortroad_load::prelude::*;
use ragwortroad_standin::prelude::*;

/// Load on one gateway, without resent bookings.
fn load_on(fleet: &TestFleet) -> LoadSettings {
    let address = fleet.address().to_string();
    fleet.control.routes.lock().unwrap().addresses = vec![address.clone()];
    LoadSettings {
        nodes: vec![address],
        customers: vec![CustomerLoad {
            name: "studio-north".to_owned(),
            key: "k".to_owned(),
            weight: 1.0,
        }],
        duration: Duration::from_millis(1500),
        resend_percent: 0,
        think_time: Duration::from_millis(200),
        ..LoadSettings::default()
    }
}

/// Guards against lost, swapped or uncached responses under mixed load without faults.
#[test]
fn chats_bookings_and_reads_get_their_own_responses() {
    let fleet = TestFleet::start(GatewaySettings::default());
    let mut report = run_load(load_on(&fleet)).unwrap();
    assert!(report.verify(&fleet.records()), "{report}");
    assert_eq!(report.answered(), report.calls(), "{report}");
    assert!(report.calls() > 20, "{report}");
    assert!(report.cache_reuse > 0.5, "{report}");
    fleet.stop();
}

/// Guards against a stream that is incomplete or lacks its placement hint or request identity.
#[test]
fn a_stream_is_complete_with_hint_and_request_id() {
    let fleet = TestFleet::start(GatewaySettings::default());
    let chat = chat_body(true);
    let response = fleet.chat(&chat, "");
    assert!(is_own_response(&response, &chat), "{response}");
    assert!(response.contains("x-placement-hint: hint-1\r\n"));
    let id = &fleet.records()[0].request_id;
    assert!(response.contains(&format!("x-request-id: {id}\r\n")));
    fleet.stop();
}

/// Guards against wrong responses under load while endpoints die, stall, truncate, swap and delay
/// responses and refuse connections, each for a few requests. Bookings may end as unknown, but none
/// runs twice or runs though refused as not run, and no client gets a partial or foreign response.
#[test]
fn no_response_is_wrong_while_endpoints_fail_in_every_way() {
    let fleet = TestFleet::start(GatewaySettings {
        stream_idle_timeout: Duration::from_secs(1),
        ..GatewaySettings::default()
    });
    let stop = AtomicBool::new(false);
    let mut report = thread::scope(|scope| {
        scope.spawn(|| {
            for round in 0.. {
                if stop.load(Ordering::Acquire) {
                    return;
                }
                let plan = nth_fault(round);
                fleet.engines[round % 2].set_faults(plan.clone());
                fleet.services[round % 2].set_faults(plan);
                thread::sleep(Duration::from_millis(40));
            }
        });
        let settings = LoadSettings {
            duration: Duration::from_secs(4),
            chats_per_second: 20.0,
            bookings_per_second: 40.0,
            max_attempts: 1,
            ..load_on(&fleet)
        };
        let report = run_load(settings).unwrap();
        stop.store(true, Ordering::Release);
        report
    });
    assert!(report.verify(&fleet.records()), "{report}");
    assert!(report.answered() * 2 > report.calls(), "{report}");
    let log = fleet.stop();
    let broken = |outcome: &&AttemptOutcome| **outcome == AttemptOutcome::Broken;
    assert!(
        log.outcomes().iter().filter(broken).count() > 10,
        "{report}"
    );
}

/// Returns a fault for three requests; each round selects the next kind.
fn nth_fault(round: usize) -> FaultPlan {
    let place = Some(round as u32 % 24);
    let mut plan = FaultPlan {
        max_requests: Some(3),
        ..FaultPlan::default()
    };
    match round % 9 {
        0 => plan.close_after_tokens = place,
        1 => plan.truncate_body = true,
        2 => plan.echoed_request_id = Some("00000000000000aa".to_owned()),
        3 => plan.foreign_id_from_token = place,
        4 => plan.close_without_response = true,
        5 => plan.stall_after_tokens = place,
        6 => plan.omit_done_marker = true,
        7 => plan.skip_token = place,
        _ => plan.refuse_connections = true,
    }
    plan
}

/// Guards against a chat lost on a pooled connection: the process of an engine restarts between two
/// chats, and the node still holds a connection to the old process.
#[test]
fn a_pooled_connection_closed_by_its_engine_fails_no_request() {
    let fleet = TestFleet::start(GatewaySettings::default());
    let chat = chat_body(true);
    assert!(is_own_response(&fleet.chat(&chat, ""), &chat));
    let address = fleet.engines[0].address();
    let refused = |refuse_connections| FaultPlan {
        refuse_connections,
        ..FaultPlan::default()
    };
    fleet.engines[0].set_faults(refused(true));
    fleet.wait_for("the engine is gone", |_| {
        std::net::TcpStream::connect(address).is_err()
    });
    fleet.engines[0].set_faults(refused(false));
    fleet.wait_for("the engine is back", |_| {
        std::net::TcpStream::connect(address).is_ok()
    });
    assert!(is_own_response(&fleet.chat(&chat, ""), &chat));
    let outcomes = fleet.stop().outcomes();
    let completed = |outcome: &AttemptOutcome| matches!(outcome, AttemptOutcome::Completed { .. });
    assert!(outcomes.iter().all(completed), "{outcomes:?}");
}
