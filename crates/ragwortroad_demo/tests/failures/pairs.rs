//! Tests of simultaneous failures.

use std::{
    collections::BTreeMap,
    sync::atomic::{
        AtomicBool,
        Ordering, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use ragwortroad_demo::prelude::*;
use ragwortroad_load::prelude::*;
use ragwortroad_standin::prelude::*;
use ragwortroad_types::prelude::*;

use crate::common::{
    booking_history::nonlinearizable_keys,
    client::{
        TestCall,
        TestClient,
        violations, //
    },
    fleet::TestFleet,
    run_spans::{
        RunSpans,
        bound_violations, //
    }, //
};

/// Sends bookings under new keys until `stopped` is set, each through several nodes until its
/// outcome is final.
fn book_until_stopped(
    addresses: &[String],
    client: &TestClient,
    name: &str,
    stopped: &AtomicBool,
) -> Vec<TestCall> {
    let mut calls = Vec::new();
    for number in 0.. {
        if stopped.load(Ordering::Relaxed) {
            break;
        }
        let key = format!("{name}-{number}");
        for attempt in 0..6 {
            let call = client.book(&addresses[(number + attempt) % addresses.len()], &key);
            let is_final = matches!(call.record.end, ClientOutcome::Answered)
                || call.code() == Some(RefusalCode::BrokenAnswer);
            calls.push(call);
            // One more attempt through the next node must get the same outcome.
            if is_final && attempt > 0 {
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
    calls
}

/// Guards against bookings that run twice, or are reported as not run although they ran, while a
/// leader crashes, a replica refuses connections and another node is partitioned.
#[test]
fn bookings_run_once_during_simultaneous_failures() {
    /// Bookings that run before the failures of each of the three rounds.
    const BOOKINGS_PER_ROUND: usize = 20;
    let mut fleet = TestFleet::start(FleetPlan {
        nodes: 4,
        engines: 0,
        services: 2,
        replica: ServiceSettings {
            work_time: Duration::from_millis(15),
            ..ServiceSettings::default()
        },
        follow_bound: Duration::from_secs(1),
        ..FleetPlan::default()
    });
    let addresses = fleet.client_addresses();
    let stopped = AtomicBool::new(false);
    let mut calls = thread::scope(|scope| {
        let threads: Vec<_> = (0..4)
            .map(|number| {
                let client = TestClient {
                    patience: Duration::from_secs(6),
                    ..TestClient::new(&fleet.plan, number)
                };
                let (addresses, stopped) = (&addresses, &stopped);
                let name = format!("pair-{number}");
                scope.spawn(move || book_until_stopped(addresses, &client, &name, stopped))
            })
            .collect();
        for round in 0..3 {
            let leader = fleet.wait_for_leader(&[0, 1, 2]);
            let ran = fleet.records().len();
            let has_run = || fleet.records().len() >= ran + BOOKINGS_PER_ROUND;
            wait_until("running bookings", has_run).unwrap();
            fleet.services[round % 2]
                .as_ref()
                .unwrap()
                .set_faults(FaultPlan {
                    refuse_connections: true,
                    ..FaultPlan::default()
                });
            fleet.crash_node(leader);
            thread::sleep(Duration::from_millis(400));
            fleet.services[round % 2]
                .as_ref()
                .unwrap()
                .set_faults(FaultPlan::default());
            fleet.partition(&[(leader + 1) % 3]);
            thread::sleep(Duration::from_millis(1200));
            fleet.restart_node(leader).unwrap();
            fleet.heal_partition();
        }
        fleet.wait_for_leader(&[0, 1, 2]);
        stopped.store(true, Ordering::Relaxed);
        let threads = threads.into_iter();
        let calls: Vec<TestCall> = threads.flat_map(|thread| thread.join().unwrap()).collect();
        calls
    });
    let client = TestClient::new(&fleet.plan, 0);
    for number in 0..4 {
        calls.push(client.book_until_success(&fleet.address(number), &format!("after-{number}")));
    }
    assert_eq!(violations(&calls, &fleet), []);
    assert_eq!(nonlinearizable_keys(&calls, &fleet), Vec::<String>::new());
    println!(
        "ANSWERED {}",
        calls.iter().filter(|call| call.is_answered()).count()
    );
    let has_failure = calls.iter().any(|call| !call.is_answered());
    assert!(has_failure, "no request hit a failure");
    let answered = calls.iter().filter(|call| call.is_answered()).count();
    let mut refusals: BTreeMap<String, usize> = BTreeMap::new();
    for call in calls.iter().filter(|call| !call.is_answered()) {
        *refusals.entry(format!("{:?}", call.code())).or_default() += 1;
    }
    assert!(
        answered > 50,
        "{answered} of {} answered; {refusals:?}",
        calls.len()
    );
}

/// Guards against two homes that each fill an engine up to its load bound, after a partition and
/// node crashes move engines between homes under load.
#[test]
fn homes_that_change_under_load_keep_each_engine_within_its_bound() {
    let plan = FleetPlan {
        nodes: 4,
        engines: 6,
        services: 0,
        engine: EngineSettings {
            token_gap: Duration::from_millis(6),
            ..EngineSettings::default()
        },
        ..FleetPlan::default()
    };
    let mut fleet = TestFleet::start(plan);
    let settings = LoadSettings {
        duration: Duration::from_secs(11),
        chats_per_second: 25.0,
        turns: 2,
        answer_tokens: 50,
        max_attempts: 8,
        bookings_per_second: 0.0,
        reads_per_second: 0.0,
        ..fleet.load_settings()
    };
    let load = thread::spawn(move || run_load(settings).unwrap());
    thread::sleep(Duration::from_millis(1500));
    fleet.partition(&[3]);
    let lost = fleet.engines[0].take().unwrap();
    let lost_at = Instant::now();
    let (lost_start, lost_records) = (lost.started(), lost.stop());
    fleet.stopped_records.extend(lost_records.clone());
    let leader = fleet.wait_for_leader(&[0, 1, 2]);
    fleet.crash_node(leader);
    thread::sleep(Duration::from_millis(2500));
    fleet.heal_partition();
    fleet.restart_node(leader).unwrap();
    thread::sleep(Duration::from_millis(2500));
    fleet.crash_node(3);
    thread::sleep(Duration::from_millis(500));
    fleet.restart_node(3).unwrap();
    let mut report = load.join().unwrap();
    report.verify(&fleet.records());
    assert_eq!(report.violations, []);
    let answered = report
        .notes
        .iter()
        .filter(|call| call.end == ClientOutcome::Answered);
    assert!(
        answered.count() * 10 > report.notes.len() * 7,
        "{:?}",
        report.outcomes
    );
    let mut spans = vec![RunSpans::new(lost_start, &lost_records).lost_at(lost_at)];
    for engine in fleet.engines.iter().flatten() {
        spans.push(RunSpans::new(engine.started(), &engine.records()));
    }
    assert_eq!(bound_violations(&spans), Vec::<String>::new());

    // The check detects two homes that each fill an engine up to the bound.
    let busiest = fleet
        .engines
        .iter()
        .flatten()
        .max_by_key(|engine| engine.records().len());
    let busiest = busiest.unwrap();
    let mut doubled = busiest.records();
    doubled.extend(busiest.records());
    spans.push(RunSpans::new(busiest.started(), &doubled));
    assert!(!bound_violations(&spans).is_empty());
}
