//! More work than the engines can do, and callers that do not read.

use std::{
    io::{
        Read,
        Write, //
    },
    net::TcpStream,
    sync::atomic::{
        AtomicBool,
        Ordering, //
    },
    thread,
    time::Duration, //
};

use ragwortroad_demo::prelude::*;
use ragwortroad_load::prelude::*;
use ragwortroad_standin::prelude::*;
use ragwortroad_types::prelude::*;

use crate::common::{
    client::{
        TestCall,
        TestClient,
        violations, //
    },
    fleet::TestFleet, //
};

fn small_engines_plan() -> FleetPlan {
    FleetPlan {
        engines: 2,
        services: 0,
        engine: EngineSettings {
            capacity: 4,
            token_gap: Duration::from_millis(10),
            ..EngineSettings::default()
        },
        ..FleetPlan::default()
    }
}

/// Guards against work for callers who have given up, and small customers behind a large one's queue.
#[test]
fn a_surge_is_refused_in_time_and_small_customers_are_served() {
    let fleet = TestFleet::start(small_engines_plan());
    let stops = AtomicBool::new(false);
    let (large, small) = thread::scope(|scope| {
        let surge: Vec<_> = (0..40)
            .map(|number| {
                let (fleet, stops) = (&fleet, &stops);
                scope.spawn(move || run_surge_client(fleet, number, stops))
            })
            .collect();
        let caller = TestClient::new(&fleet.plan, 1);
        let mut small = Vec::new();
        for number in 0..15 {
            let text = format!("small {number}");
            wait_until("the small studio's answer", || {
                let address = fleet.address(number % 3);
                let call = caller.chat(&address, &fleet.plan.model, &text, 20);
                let is_answered = call.is_answered();
                small.push(call);
                is_answered
            })
            .unwrap();
        }
        stops.store(true, Ordering::Relaxed);
        let surge = surge.into_iter();
        let large: Vec<TestCall> = surge.flat_map(|thread| thread.join().unwrap()).collect();
        (large, small)
    });
    let refused = large.iter().filter(|call| !call.is_answered());
    assert!(refused.clone().count() > 50);
    for call in refused {
        let not_run = matches!(
            call.note.end,
            ClientOutcome::Refused(RequestOutcome::NotRun, _)
        );
        assert!(not_run && call.has_retry_delay, "{call:?}");
    }
    // Fifteen answers in at most three sendings each, against forty callers.
    assert!(small.len() <= 45, "{} sendings", small.len());
    let calls = [large, small].concat();
    assert_eq!(violations(&calls, &fleet), []);
    let answered = calls.iter().filter(|call| call.is_answered()).count();
    let records = fleet.records();
    assert!(
        records
            .iter()
            .all(|record| record.end == RunStatus::Completed)
    );
    assert_eq!(records.len(), answered, "an engine worked for nobody");
}

/// One of the large studio's callers, who comes back when told to.
fn run_surge_client(fleet: &SmallFleet, number: usize, stops: &AtomicBool) -> Vec<TestCall> {
    let caller = TestClient::new(&fleet.plan, 0);
    let address = fleet.settings[number % 3].node.listen.to_string();
    let mut calls = Vec::new();
    while !stops.load(Ordering::Relaxed) {
        let text = format!("large {number} {}", calls.len());
        let call = caller.chat(&address, &fleet.plan.model, &text, 20);
        let is_answered = call.is_answered();
        calls.push(call);
        if !is_answered {
            thread::sleep(Duration::from_millis(100));
        }
    }
    calls
}

/// Guards against callers who stop reading and hold the places of all others.
#[test]
fn callers_that_do_not_read_starve_nobody() {
    let fleet = TestFleet::start(FleetPlan {
        engine: EngineSettings {
            capacity: 16,
            token_gap: Duration::from_micros(200),
            ..EngineSettings::default()
        },
        ..small_engines_plan()
    });
    let body = ChatBody {
        model: fleet.plan.model.clone(),
        messages: vec![ChatMessage::text("user", "a very long note")],
        max_tokens: Some(200_000),
        stream: true,
        ..ChatBody::default()
    };
    let body = serde_json::to_string(&body).unwrap();
    let open = |number: usize| {
        let mut socket = TcpStream::connect(fleet.address(number % 3)).unwrap();
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n",
            FleetPlan::key_of(&fleet.plan.customers[0]),
            body.len()
        );
        socket.write_all(head.as_bytes()).unwrap();
        socket.write_all(body.as_bytes()).unwrap();
        // The first bytes of the answer; what follows is never read.
        let mut first = [0; 12];
        socket.read_exact(&mut first).unwrap();
        socket
    };
    let sockets: Vec<TcpStream> = (0..4).map(open).collect();
    let caller = TestClient::new(&fleet.plan, 1);
    let mut calls = Vec::new();
    for number in 0..30 {
        let address = fleet.address(number % 3);
        wait_until("an answer beside the callers that do not read", || {
            let text = format!("beside {number}");
            let call = caller.chat(&address, &fleet.plan.model, &text, 20);
            let is_answered = call.is_answered();
            calls.push(call);
            is_answered
        })
        .unwrap();
    }
    assert!(calls.len() <= 60, "{} sendings", calls.len());
    assert_eq!(violations(&calls, &fleet), []);
    drop(sockets);
    wait_until("the end of work for nobody", || {
        let engines = fleet.engines.iter().flatten();
        engines.map(|engine| engine.load().running).sum::<u32>() == 0
    })
    .unwrap();
}
