//! Tests of requests that crash each endpoint which runs them.

use std::{
    thread,
    time::Duration, //
};

use ragwortroad_demo::prelude::*;
use ragwortroad_standin::prelude::*;
use ragwortroad_types::prelude::*;

use crate::common::{
    client::{
        TestCall,
        TestClient, //
    },
    fleet::TestFleet, //
};

/// Text of the chats that crash an engine.
const POISON: &str = "poison";

/// Attempts of one request; each may crash an endpoint.
const ATTEMPTS: usize = 3;

/// Starts every stopped or crashed engine again, as an endpoint that crashes on [`POISON`].
fn tend_engines(fleet: &mut TestFleet, incarnation: &mut u64) -> usize {
    let mut crashes = 0;
    for number in 0..fleet.engines.len() {
        let engine = fleet.engines[number].as_ref().unwrap();
        if !engine.has_crashed() {
            continue;
        }
        crashes += 1;
        let records = fleet.engines[number].take().unwrap().stop();
        fleet.stopped_records.extend(records);
        *incarnation += 1;
        let engine = fleet.start_engine(number, *incarnation).unwrap();
        engine.set_faults(crash_plan());
        fleet.engines[number] = Some(engine);
    }
    crashes
}

fn crash_plan() -> FaultPlan {
    FaultPlan {
        crash_on: Some(POISON.to_owned()),
        ..FaultPlan::default()
    }
}

/// Sends the chat that crashes engines through a node; returns the call and the crashes.
fn send_poison(fleet: &mut TestFleet, node: usize, incarnation: &mut u64) -> (TestCall, usize) {
    let client = TestClient {
        patience: Duration::from_secs(5),
        ..TestClient::new(&fleet.plan, 0)
    };
    let model = fleet.plan.model.clone();
    let call = client.chat(&fleet.address(node), &model, POISON, 5);
    let crashes = tend_engines(fleet, incarnation);
    wait_until("the engines", || {
        let response = fleet.operator().ask("show endpoints where state = present");
        let rows = response
            .ok()
            .and_then(|it| Some(it.body.get("rows")?.as_array()?.len()));
        rows == Some(fleet.plan.engines + fleet.plan.services)
    })
    .unwrap();
    (call, crashes)
}

/// Guards against the crash of engine after engine by one chat that is repeated at any node.
#[test]
fn a_chat_that_crashes_engines_soon_reaches_none() {
    let mut fleet = TestFleet::start(FleetPlan {
        engines: 4,
        services: 1,
        ..FleetPlan::default()
    });
    for engine in fleet.engines.iter().flatten() {
        engine.set_faults(crash_plan());
    }
    let mut incarnation = 1;
    let mut crashes = 0;
    let mut node = 0;
    while crashes < ATTEMPTS {
        crashes += send_poison(&mut fleet, node % 3, &mut incarnation).1;
        node += 1;
        assert!(node < 20, "{crashes} crashes in {node} chats");
    }
    // Reports reach the other nodes within a few ticks of the control threads.
    thread::sleep(Duration::from_secs(1));
    for node in 0..6 {
        let (call, crashes) = send_poison(&mut fleet, node % 3, &mut incarnation);
        assert_eq!(crashes, 0, "{call:?}");
        assert_eq!(call.code(), Some(RefusalCode::CrashesEndpoints), "{call:?}");
        let outcome = call.record.attempts[0].outcome;
        assert_eq!(outcome, Some(RequestOutcome::Unknown), "it has run before");
    }
    // A node that restarts learns of the crashes from the others.
    fleet.crash_node(1);
    fleet.restart_node(1).unwrap();
    let client = TestClient::new(&fleet.plan, 0);
    let model = fleet.plan.model.clone();
    wait_until("a served chat", || {
        client
            .chat(&fleet.address(1), &model, "harmless", 5)
            .is_answered()
    })
    .unwrap();
    let (call, crashes) = send_poison(&mut fleet, 1, &mut incarnation);
    assert_eq!(crashes, 0, "{call:?}");
    assert_eq!(call.code(), Some(RefusalCode::CrashesEndpoints), "{call:?}");
}
