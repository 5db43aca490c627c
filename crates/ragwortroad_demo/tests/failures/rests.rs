//! Tests of endpoints that ask a node for rest.

use std::time::{
    Duration,
    Instant, //
};

use ragwortroad_demo::prelude::*;
use ragwortroad_standin::prelude::*;
use ragwortroad_types::prelude::*;

use crate::common::{
    client::TestClient,
    fleet::TestFleet, //
};

/// Rest that an engine asks for.
const REST: Duration = Duration::from_secs(2);

/// Time after a rejection in which requests that are on their way may still arrive.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);

fn ask_rest(engine: &StandinEngine) {
    engine.set_faults(FaultPlan {
        status: Some(503),
        rest: Some(REST),
        ..FaultPlan::default()
    });
}

/// Guards against requests to resting engines, and false times told while all of them rest.
#[test]
fn engines_that_ask_for_rest_get_it() {
    let fleet = TestFleet::start(FleetPlan {
        engines: 2,
        services: 1,
        ..FleetPlan::default()
    });
    let engines: Vec<&StandinEngine> = fleet.engines.iter().flatten().collect();
    let client = TestClient::new(&fleet.plan, 0);
    let address = fleet.address(0);
    let chat = |text: &str| client.chat(&address, &fleet.plan.model, text, 2);
    ask_rest(engines[0]);
    let until = Instant::now() + REST;
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let call = chat(&format!("chat {number}"));
        assert!(call.is_answered(), "{call:?}");
    }
    let rejections = engines[0].rejections();
    let first = *rejections.first().expect("no request reached the engine");
    let rest = first + IN_FLIGHT_TIME..first + REST;
    let late = rejections.iter().filter(|at| rest.contains(*at)).count();
    assert!(late <= 2, "{late} of {number} requests during the rest");

    ask_rest(engines[1]);
    let rejected_at = |engine: &StandinEngine| *engine.rejections().last().unwrap();
    let rests = |engine: &StandinEngine| rejected_at(engine).elapsed() < REST / 2;
    wait_until("refusals while both engines rest", || {
        let call = chat("until both rest");
        let both_rest = engines.iter().all(|engine| rests(engine));
        !call.is_answered() && both_rest
    })
    .unwrap();
    let before = engines[0].rejections().len() + engines[1].rejections().len();
    let call = chat("while both rest");
    let earliest = engines
        .iter()
        .map(|engine| rejected_at(engine) + REST)
        .min();
    assert_eq!(call.code(), Some(RefusalCode::NoEndpoint), "{call:?}");
    assert!(call.answered - call.called < IN_FLIGHT_TIME, "{call:?}");
    let return_at = call.answered + call.retry_delay.expect("no time to retry");
    let is_honest = return_at + Duration::from_millis(50) >= earliest.unwrap();
    assert!(is_honest, "told to return too early: {call:?}");
    assert_eq!(
        engines[0].rejections().len() + engines[1].rejections().len(),
        before
    );
    for engine in &engines {
        engine.set_faults(FaultPlan::default());
    }
    wait_until("an answered chat", || chat("after the rest").is_answered()).unwrap();
}
