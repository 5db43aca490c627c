//! Tests of overload: more requests than the engines can serve, and clients that don't read.

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

/// Guards against engines that work for clients that have given up, and against small customers
/// that wait behind the queue of a large one.
#[test]
fn a_surge_is_refused_and_small_customers_are_served() {
    let fleet = TestFleet::start(small_engines_plan());
    let stopped = AtomicBool::new(false);
    let (large, small) = thread::scope(|scope| {
        let surge_clients: Vec<_> = (0..40)
            .map(|number| {
                let (fleet, stopped) = (&fleet, &stopped);
                scope.spawn(move || run_surge_client(fleet, number, stopped))
            })
            .collect();
        let client = TestClient::new(&fleet.plan, 1);
        let mut small = Vec::new();
        for number in 0..15 {
            let text = format!("small {number}");
            wait_until("a response to the small customer", || {
                let address = fleet.address(number % 3);
                let call = client.chat(&address, &fleet.plan.model, &text, 20);
                let is_answered = call.is_answered();
                small.push(call);
                is_answered
            })
            .unwrap();
        }
        stopped.store(true, Ordering::Relaxed);
        let surge_clients = surge_clients.into_iter();
        let large: Vec<TestCall> = surge_clients
            .flat_map(|thread| thread.join().unwrap())
            .collect();
        (large, small)
    });
    let refused = large.iter().filter(|call| !call.is_answered());
    assert!(refused.clone().count() > 50);
    for call in refused {
        let not_run = matches!(
            call.record.end,
            ClientOutcome::Refused(RequestOutcome::NotRun, _)
        );
        assert!(not_run && call.retry_delay.is_some(), "{call:?}");
    }
    // 15 responses within at most 3 attempts each, against 40 competing clients.
    assert!(small.len() <= 45, "{} attempts", small.len());
    let calls = [large, small].concat();
    assert_eq!(violations(&calls, &fleet), []);
    let answered = calls.iter().filter(|call| call.is_answered()).count();
    let records = fleet.records();
    assert!(
        records
            .iter()
            .all(|record| record.end == RunStatus::Completed)
    );
    assert_eq!(
        records.len(),
        answered,
        "an engine ran a request that was not answered"
    );
}

/// Runs one client of the large customer, which retries 100 ms after each refusal.
fn run_surge_client(fleet: &SmallFleet, number: usize, stopped: &AtomicBool) -> Vec<TestCall> {
    let client = TestClient::new(&fleet.plan, 0);
    let address = fleet.settings[number % 3].node.listen.to_string();
    let mut calls = Vec::new();
    while !stopped.load(Ordering::Relaxed) {
        let text = format!("large {number} {}", calls.len());
        let call = client.chat(&address, &fleet.plan.model, &text, 20);
        let is_answered = call.is_answered();
        calls.push(call);
        if !is_answered {
            thread::sleep(Duration::from_millis(100));
        }
    }
    calls
}

/// Guards against clients that stop reading their streams and thereby occupy the engines' capacity.
#[test]
fn clients_that_do_not_read_starve_no_others() {
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
        // Only the first bytes of the response are ever read.
        let mut first = [0; 12];
        socket.read_exact(&mut first).unwrap();
        socket
    };
    let sockets: Vec<TcpStream> = (0..4).map(open).collect();
    let client = TestClient::new(&fleet.plan, 1);
    let mut calls = Vec::new();
    for number in 0..30 {
        let address = fleet.address(number % 3);
        wait_until("a response despite the clients that don't read", || {
            let text = format!("beside {number}");
            let call = client.chat(&address, &fleet.plan.model, &text, 20);
            let is_answered = call.is_answered();
            calls.push(call);
            is_answered
        })
        .unwrap();
    }
    assert!(calls.len() <= 60, "{} attempts", calls.len());
    assert_eq!(violations(&calls, &fleet), []);
    drop(sockets);
    wait_until("the cancellation of abandoned requests", || {
        let engines = fleet.engines.iter().flatten();
        engines.map(|engine| engine.load().running).sum::<u32>() == 0
    })
    .unwrap();
}
