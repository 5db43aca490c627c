//! Parts of an edge without a network: gate slots between admission decisions and the tasks that wait
//! for them, bytes of bodies, clients that do not read or send, and the processor time of an idle
//! edge.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use hyper::header::HeaderValue;
use ragwortroad_clock::prelude::*;
use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_settings::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    byte_budget::ByteBudget,
    customer_flow::{
        customer_of_tag,
        unknown_customers, //
    },
    edge_links::apply_update,
    edge_state::EdgeState,
    gate_permit::charged_customer,
    read_stall::ReadStall,
    registry_link::RegistryLink,
    relay_head::RelayHead,
    service_gate::{
        GateDecision,
        ServiceGate, //
    },
    wait_end::WaitEnd, //
};

fn request() -> AdmissionRequest {
    AdmissionRequest {
        rank: RequestRank::default(),
        is_late: false,
        queue_timeout: Duration::from_millis(200),
        customer: None,
        work: RequestWork::default(),
    }
}

/// A gate with one slot, which is taken, and one queued request.
fn full_gate_with_one_waiter(
    now: ClockTime,
) -> (ServiceGate, QueueTicket, tokio::sync::oneshot::Receiver<()>) {
    let mut gate = ServiceGate::new(now);
    let load = FleetLoad {
        capacity: 1.0,
        edges: 1,
        ..FleetLoad::default()
    };
    gate.update_limit(Some(load.own_limit()), now);
    assert!(matches!(gate.offer(request(), now), GateDecision::Admitted));
    match gate.offer(request(), now) {
        GateDecision::Queued(ticket, admission) => (gate, ticket, admission),
        GateDecision::Admitted => panic!("the only slot is taken"),
    }
}

/// A slot granted at the moment when its client disconnects would leak and reduce the capacity
/// permanently.
#[test]
fn a_slot_granted_to_an_ended_wait_can_be_released() {
    let now = ClockTime(1000);
    let (mut gate, ticket, mut admission) = full_gate_with_one_waiter(now);
    gate.release(None, now);
    assert_eq!(
        gate.gate().in_flight(),
        1,
        "the queued request holds the slot"
    );
    assert!(gate.finish_wait(ticket, &mut admission, now));
    gate.release(None, now);
    assert_eq!(gate.gate().in_flight(), 0);
    assert!(matches!(gate.offer(request(), now), GateDecision::Admitted));
}

#[test]
fn a_wait_cancelled_before_admission_holds_no_slot() {
    let now = ClockTime(1000);
    let (mut gate, ticket, mut admission) = full_gate_with_one_waiter(now);
    assert!(!gate.finish_wait(ticket, &mut admission, now));
    assert_eq!(gate.gate().waiting(), 0);
    gate.release(None, now);
    assert_eq!(gate.gate().in_flight(), 0);
    assert!(!gate.is_used());
}

/// State of an edge that knows `endpoints` engines of one service and has served a request.
fn edge_beside(endpoints: u32, now: ClockTime) -> EdgeState {
    let service = ServiceRule {
        name: "llm".to_owned(),
        max_connections: 1000,
        warmup_per_second: Some(4.0),
        engine: Some(EngineRule {
            slots: 12,
            memory_tokens: 500_000,
            event_tokens: 17,
            token_bytes: 0.0,
            link_mbps: 0.0,
        }),
    };
    let config = SiteConfig {
        services: vec![service],
        ..SiteConfig::default()
    };
    let mut state = EdgeState::default();
    state.map = Some(Rc::new(RouteMap::new(config)));
    state.edges = endpoints / 10;
    for index in 0..endpoints {
        let record = EndpointRecord {
            name: format!("engine-{index}"),
            service: "llm".to_owned(),
            address: SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + index), 80)),
            zone: format!("domain-{}", index % 5),
            slots: 12,
            stage: EndpointStage::Ready,
            started_ms: 1000,
            sequence: 1,
            warming_ms: 0,
            version: "v1".to_owned(),
        };
        let change = state.endpoints.apply_record(SourceKey(0), record, now);
        state.apply_change(change, now);
    }
    let gate = state.gate_mut("llm", now);
    assert!(matches!(gate.offer(request(), now), GateDecision::Admitted));
    gate.release(None, now);
    state
}

/// Guards against edges that spend their processor time on engines to which they send nothing.
#[test]
fn an_idle_edge_costs_the_same_in_a_large_fleet() {
    const MAX_GROWTH: f64 = 3.0;
    const ROUNDS: usize = 3;
    let [small, large] = [2500, 20_000].map(|endpoints| {
        let mut now = ClockTime(3_600_000);
        let mut state = edge_beside(endpoints, now);
        let rounds = (0..ROUNDS).map(|_| {
            let started = thread_processor_time();
            for _ in 0..100 {
                now = now.after(Duration::from_millis(100));
                state.expire(now);
                state.set_limits(now);
                state.set_gauges(now);
                state.send_loads(now);
            }
            thread_processor_time() - started
        });
        rounds.min().expect("a round").as_secs_f64()
    });
    let growth = large / small;
    assert!(growth < MAX_GROWTH, "{growth:.1} times the time of a tick");
}

/// State of an edge whose home registry reports `loaded` of `endpoints` engines with a request each.
fn edge_beside_loaded(endpoints: u32, loaded: u32, now: ClockTime) -> EdgeState {
    let mut state = edge_beside(endpoints, now);
    let mut home = RegistryLink::new(SocketAddr::from((Ipv4Addr::LOCALHOST, 80)));
    home.is_home = true;
    let tags = (0..loaded).map(|index| EndpointTag::of(&format!("engine-{index}")));
    home.totals = tags.map(|tag| (tag, 1)).collect();
    state.links.insert(SourceKey(0), home);
    state
}

/// Guards against requests that look up each engine of a fleet of which few have work.
#[test]
fn a_request_costs_little_for_engines_without_work() {
    const ENGINES: u32 = 20_000;
    const MIN_RATIO: f64 = 2.5;
    let now = ClockTime(3_600_000);
    let [few, all] = [ENGINES / 50, ENGINES].map(|loaded| {
        let mut state = edge_beside_loaded(ENGINES, loaded, now);
        let rounds = (0..5).map(|_| {
            let started = thread_processor_time();
            for _ in 0..5 {
                state.set_limits(now);
                let gate = state.gate_mut("llm", now);
                assert!(gate.gate().limit().is_finite());
            }
            thread_processor_time() - started
        });
        rounds.min().expect("a round").as_secs_f64()
    });
    let ratio = all / few;
    assert!(
        ratio > MIN_RATIO,
        "only {ratio:.1} times the time with work at all"
    );
}

/// Guards against limits from a part of the engines, such as those with work.
#[test]
fn a_limit_counts_all_engines_that_can_be_selected() {
    let now = ClockTime(3_600_000);
    let mut state = edge_beside_loaded(1000, 100, now);
    let limit = |state: &mut EdgeState| {
        state.set_limits(now);
        state.gate_mut("llm", now).gate().limit()
    };
    let load = |capacity: u32, total: u32, own: u32| FleetLoad {
        capacity: f64::from(capacity),
        total,
        own,
        edges: 100,
    };
    assert_eq!(limit(&mut state), load(12_000, 100, 0).own_limit());
    let home = state.links.values_mut().next().expect("the home");
    let own = [
        (EndpointTag::of("engine-7"), 2),
        (EndpointTag::of("engine-700"), 3),
    ];
    home.report.changes(&own.into());
    // The registry reports engine 7 with one request, but this edge alone has two there.
    assert_eq!(limit(&mut state), load(12_000, 104, 5).own_limit());
    state.load_mut(EndpointKey(900)).note_failure(now);
    assert_eq!(limit(&mut state), load(11_988, 104, 5).own_limit());
}

fn customer_load(customer: &str, running: u32, wanted: u32) -> CustomerLoad {
    CustomerLoad {
        service: ServiceTag::of("llm"),
        customer: CustomerTag::of(customer),
        running,
        wanted,
    }
}

/// A state whose home registry reports 1150 of 1200 slots in use.
fn edge_in_a_full_fleet(now: ClockTime) -> EdgeState {
    let mut state = edge_beside_loaded(100, 100, now);
    let home = state.links.values_mut().next().expect("the home");
    home.totals.values_mut().for_each(|total| *total = 12);
    state.set_limits(now);
    state
}

/// Guards against limits that change although no edge reports customers.
#[test]
fn shares_follow_from_reported_customers_only() {
    let now = ClockTime(3_600_000);
    let mut state = edge_in_a_full_fleet(now);
    let before = state.gate_mut("llm", now).gate().limit();
    assert!(state.gate_mut("llm", now).gate().shares().is_none());
    let loads = [customer_load("a", 200, 200), customer_load("b", 1000, 9000)];
    state.apply_customer_loads(SourceKey(0), &loads, now);
    let gate = state.gate_mut("llm", now).gate();
    let shares = gate.shares().expect("shares");
    assert!((shares.level - 940.0).abs() < 1.0, "{shares:?}");
    assert!(shares.allows(CustomerTag::of("a"), 9));
    assert!(!shares.allows(CustomerTag::of("b"), 200));
    // The registry reports that the load is gone.
    let loads = [customer_load("a", 0, 0), customer_load("b", 0, 0)];
    state.apply_customer_loads(SourceKey(0), &loads, now);
    let gate = state.gate_mut("llm", now).gate();
    assert!(gate.shares().is_none());
    assert_eq!(gate.limit(), before);
}

/// Guards against messages about customers while nothing is refused.
#[test]
fn customers_are_reported_while_requests_are_shed() {
    let now = ClockTime(3_600_000);
    let mut state = edge_in_a_full_fleet(now);
    let (queue, sent) = LinkQueue::new(&LinkSettings::default());
    state
        .links
        .values_mut()
        .for_each(|link| link.queue = Some(queue.clone()));
    let customer = Some(CustomerTag::of("a"));
    let request = AdmissionRequest {
        customer,
        ..request()
    };
    let gate = state.gate_mut("llm", now);
    assert!(matches!(gate.offer(request, now), GateDecision::Admitted));
    state.send_customer_loads(now);
    assert!(sent.is_empty());
    let gate = state.gate_mut("llm", now);
    let offers: Vec<GateDecision> = (0..500).map(|_| gate.offer(request, now)).collect();
    assert_eq!(offers.len(), 500);
    state.send_customer_loads(now);
    assert_eq!(sent.len(), 1);
    let home = state.home().expect("the home");
    let load = home.customer_report.loads().next().expect("a report");
    assert_eq!(Some(load.customer), customer);
    assert!(load.wanted > load.running, "{load:?}");
}

#[test]
fn customers_share_nothing_if_the_mechanism_is_off() {
    let on = MechanismSettings::default();
    let off = MechanismSettings {
        customer_shares: false,
        ..on
    };
    assert_eq!(charged_customer(&on, Some("a")), Some(CustomerTag::of("a")));
    assert_eq!(charged_customer(&off, Some("a")), None);
    assert_eq!(charged_customer(&on, None), None);
}

/// Guards against a misspelled name whose weight the operator believes to hold.
#[test]
fn weights_of_unknown_customers_are_found() {
    let text = b"[customer_weights]\nstudio = 2.0\nstduio = 3\n";
    let faults = ForwardSettings::from_bytes(text).expect_err("the rest is missing");
    assert!(!faults.to_string().contains("weight"), "{faults}");
    let weights = CustomerWeights {
        weights: [("studio".to_owned(), 2.0), ("stduio".to_owned(), 3.0)].into(),
    };
    let customer = CustomerRule {
        name: "studio".to_owned(),
        keys: Vec::new(),
        rank: None,
    };
    let config = SiteConfig {
        customers: Some(vec![customer]),
        ..SiteConfig::default()
    };
    assert_eq!(unknown_customers(&weights, &config), ["stduio"]);
    let known = customer_of_tag(&config, CustomerTag::of("studio"));
    assert_eq!(known, Some("studio"));
}

/// Receives a body in chunks of 16 KiB; `None` if the budget refuses it.
fn receive(budget: &ByteBudget, length: usize) -> Option<Bytes> {
    const CHUNK_BYTES: usize = 16 << 10;
    let mut held = budget.hold();
    let mut left = length;
    while left > 0 {
        let chunk = vec![0; left.min(CHUNK_BYTES)];
        left -= chunk.len();
        held.push(Bytes::from(chunk)).ok()?;
    }
    Some(held.into_bytes())
}

/// Guards against an edge that is killed for its memory while slow readers hold large bodies.
#[test]
fn bodies_stay_within_the_budget_and_small_ones_get_through() {
    const MEMORY: usize = 160 << 20;
    const LARGE: usize = 4 << 20;
    let budget = ByteBudget::for_memory(MEMORY);
    let large: Vec<Bytes> = (0..100).map_while(|_| receive(&budget, LARGE)).collect();
    assert!(large.len() * LARGE <= MEMORY / 4, "{} held", large.len());
    assert!(receive(&budget, LARGE).is_none());
    let small: Vec<Bytes> = (0..100).map_while(|_| receive(&budget, 60 << 10)).collect();
    assert_eq!(small.len(), 100, "large bodies leave room for small ones");
    drop(large);
    assert!(
        receive(&budget, LARGE).is_some(),
        "dropped bodies are not charged"
    );
    drop(small);
    assert_eq!(budget.held(), 0);
}

/// Guards against clients that send a byte a second and take the room of those that send at once.
#[test]
fn slow_uploads_are_charged_for_what_has_arrived() {
    let budget = ByteBudget::for_memory(16 << 20);
    let slow: Vec<_> = (0..2000)
        .map(|_| {
            let mut held = budget.hold();
            held.push(Bytes::from_static(b"x"))
                .expect("room for a byte");
            held
        })
        .collect();
    let quick: Vec<Bytes> = (0..200).map_while(|_| receive(&budget, 10_000)).collect();
    assert_eq!(quick.len(), 200);
    drop(slow);
    assert_eq!(budget.held(), 200 * 10_000);
}

/// Guards against healthy endpoints that are blamed for a response that its client did not read.
#[test]
fn a_break_after_a_stall_of_the_client_is_not_blamed_on_the_endpoint() {
    let at = |ms: u64| ClockTime(3_600_000 + ms);
    let mut stall = ReadStall::default();
    assert!(!stall.note_wanted(at(0)));
    stall.note_handed_over(at(10));
    assert!(!stall.note_wanted(at(11)), "the client reads at once");
    assert!(!stall.explains_break(at(4000)), "the endpoint was silent");
    assert!(!stall.note_wanted(at(5000)), "the endpoint was awaited");
    stall.note_handed_over(at(5000));
    assert!(stall.note_wanted(at(9000)), "the client has not read");
    assert!(stall.explains_break(at(9100)));
    assert!(!stall.explains_break(at(11_000)), "the stall is long over");
}

/// Guards against requests relayed out of a cut that edges of another version cannot read.
#[test]
fn only_the_head_of_a_led_request_names_an_endpoint() {
    let relayed = RelayHead {
        key: RelayKey(7),
        time_left: Duration::from_millis(900),
        config_version: 3,
        last_event_id: None,
        version: None,
        led_to: None,
    };
    let text = HeaderValue::from(&relayed);
    assert_eq!(text, "00000000000000000000000000000007 900 3 - -");
    assert_eq!(RelayHead::try_from(&text), Ok(relayed));
    let led = RelayHead {
        led_to: Some(EndpointTag(0xab)),
        ..relayed
    };
    let text = HeaderValue::from(&led);
    assert_eq!(text, "00000000000000000000000000000007 900 3 - - ab");
    assert_eq!(RelayHead::try_from(&text), Ok(led));
}

/// Guards against connections that are closed earlier than their clients expect.
#[test]
fn a_changed_limit_closes_no_connection_early() {
    let start = tokio::time::Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let changed = |limits: &[(u64, u64)]| {
        let mut end = WaitEnd::new(start, Duration::from_secs(10));
        for (limit, now) in limits {
            end.change_limit(Duration::from_secs(*limit), at(*now));
        }
        end.ends_at()
    };
    assert_eq!(changed(&[]), at(10));
    assert_eq!(changed(&[(20, 6)]), at(20), "longer");
    assert_eq!(changed(&[(2, 6)]), at(8), "shorter, for a longer idle time");
    assert_eq!(changed(&[(9, 6)]), at(10), "hardly shorter");
    assert_eq!(changed(&[(2, 6), (3, 7)]), at(8), "shorter, then longer");
    assert_eq!(changed(&[(2, 6), (30, 7)]), at(30), "shorter, then longest");
}

/// Guards against odd records that an edge takes from a registry.
#[test]
fn odd_records_of_a_registry_are_not_taken() {
    let now = RealClock::start().now();
    let mut state = EdgeState::default();
    let record = |name: &str, port| EndpointRecord {
        name: name.to_owned(),
        service: "desk".to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        zone: "a".to_owned(),
        slots: 8,
        stage: EndpointStage::Ready,
        started_ms: 17,
        sequence: 1,
        warming_ms: 0,
        version: String::new(),
    };
    let large = EndpointRecord {
        slots: u32::MAX,
        ..record("i-large", 80)
    };
    let records = [record("i-no-port", 0), large, record("i-sound", 80)];
    for record in records {
        apply_update(&mut state, SourceKey(0), RegistryChange::Told(record), now);
    }
    let ready = state.endpoints.ready("desk").iter();
    let records = ready.filter_map(|endpoint| state.endpoints.record(endpoint.key));
    let names: Vec<&str> = records.map(|record| record.name.as_str()).collect();
    assert_eq!(names, ["i-sound"]);
}
