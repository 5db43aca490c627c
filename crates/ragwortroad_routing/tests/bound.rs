//! No engine exceeds the load bound, whichever nodes send to it and whichever is its home.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

use ragwortroad_routing::prelude::*;
use ragwortroad_types::prelude::*;

const ENGINES: usize = 6;
const NODES: usize = 4;
const FLEET: FleetKey = FleetKey(1);
const OFFER: OfferKey = OfferKey(1);

fn engine_id(engine: usize) -> EndpointId {
    EndpointId::from_name(&format!("engine-{engine}"))
}

fn node_id(node: usize) -> NodeId {
    NodeId(node as u64 + 1)
}

fn facts(engine: usize, home: usize) -> EndpointFacts {
    EndpointFacts {
        id: engine_id(engine),
        kind: EndpointKind::Engine,
        fleet: FLEET,
        zone: ZoneKey(engine as u64 % 3),
        capacity: 64,
        offers: vec![OFFER],
        home: node_id(home),
        leaving: false,
        drained: false,
    }
}

fn new_table(node: usize) -> RouteTable {
    let mut table = RouteTable::new(RouteSettings {
        node: node_id(node),
        chat_entries: 64,
        prefix_entries: 64,
        ..RouteSettings::default()
    });
    for engine in 0..ENGINES {
        table.upsert_endpoint(facts(engine, engine % NODES), ClockTime::ZERO);
    }
    table
}

/// Longest time from a grant to the arrival of its request, in milliseconds, in the test with
/// delayed requests.
const FLIGHT_MS: u64 = 200;

/// Least time between two reports of an engine in that test, in milliseconds.
const REPORT_MS: u64 = 500;

/// A request for which a home granted a slot.
struct GrantedRequest {
    home: usize,
    slot: SlotId,
    /// When the request arrives at its engine, in milliseconds.
    arrives_at: u64,
}

/// Several nodes, and the requests that really are at each engine.
struct Fleet {
    tables: Vec<RouteTable>,
    /// Requests of each engine, those that have not arrived yet included.
    running: Vec<Vec<GrantedRequest>>,
    /// Least time between two reports of an engine, in milliseconds.
    report_every: u64,
    /// When each engine may send its next report, in milliseconds.
    reports_at: Vec<u64>,
    homes: Vec<usize>,
    /// For each engine, the former home that does not know of the change yet, and when it learns of
    /// it.
    former_homes: BTreeMap<usize, (usize, u64)>,
    granted: u32,
}

impl Fleet {
    fn new() -> Self {
        Self {
            tables: (0..NODES).map(new_table).collect(),
            running: (0..ENGINES).map(|_| Vec::new()).collect(),
            report_every: 0,
            reports_at: vec![0; ENGINES],
            homes: (0..ENGINES).map(|engine| engine % NODES).collect(),
            former_homes: BTreeMap::new(),
            granted: 0,
        }
    }

    /// Asks `home` for a slot, sends the request so that it arrives `flight` milliseconds later,
    /// and checks the bound.
    fn ask(&mut self, engine: usize, home: usize, requester: usize, now: ClockTime, flight: u64) {
        let table = &mut self.tables[home];
        let bound = table.settings().bound.of_mean(table.fleet_mean(FLEET));
        let id = engine_id(engine);
        let answer = table.grant_slot(
            id,
            node_id(requester),
            CustomerKey(1),
            AdmissionClass::Returning,
            now,
        );
        if let SlotAnswer::Granted { slot } = answer {
            self.running[engine].push(GrantedRequest {
                home,
                slot,
                arrives_at: now.0 + flight,
            });
            self.granted += 1;
            let load = self.running[engine].len() as u32;
            assert!(
                load <= bound,
                "engine {engine} carries {load}, bound {bound}"
            );
        }
    }

    fn finish(&mut self, engine: usize, index: usize, now: ClockTime) {
        if self.running[engine][index].arrives_at > now.0 {
            return;
        }
        let GrantedRequest { home, slot, .. } = self.running[engine].swap_remove(index);
        let outcome = SlotOutcome::Succeeded;
        self.tables[home].release(engine_id(engine), slot, outcome, now);
    }

    /// Gives the engine a new home; the old one learns of it `late` milliseconds later.
    fn change_home(&mut self, engine: usize, home: usize, now: u64, late: u64) {
        let old = self.homes[engine];
        if old == home || self.former_homes.contains_key(&engine) {
            return;
        }
        let exclusive_from = ClockTime(now + late + 1);
        for node in (0..NODES).filter(|node| *node != old) {
            self.tables[node].set_home(engine_id(engine), node_id(home), exclusive_from);
        }
        self.homes[engine] = home;
        self.former_homes.insert(engine, (old, now + late));
    }

    fn notify_former_homes(&mut self, now: u64) {
        let due: Vec<usize> = self
            .former_homes
            .iter()
            .filter(|(_, (_, at))| *at <= now)
            .map(|(engine, _)| *engine)
            .collect();
        for engine in due {
            if let Some((old, at)) = self.former_homes.remove(&engine) {
                let home = node_id(self.homes[engine]);
                let exclusive_from = ClockTime(at + 1);
                self.tables[old].set_home(engine_id(engine), home, exclusive_from);
            }
        }
    }

    fn report(&mut self, engine: usize, now: ClockTime) {
        if now.0 < self.reports_at[engine] {
            return;
        }
        self.reports_at[engine] = now.0 + self.report_every;
        let requests = self.running[engine].iter();
        let arrived = requests.filter(|request| request.arrives_at <= now.0);
        let report = LoadReport {
            running: arrived.count() as u32,
            ..LoadReport::default()
        };
        let home = self.homes[engine];
        self.tables[home].observe_report(engine_id(engine), report, now);
    }

    fn spread_digests(&mut self, now: ClockTime) {
        for engine in 0..ENGINES {
            let home = &self.tables[self.homes[engine]];
            let Some(digest) = home.digest_of(engine_id(engine), now) else {
                continue;
            };
            for table in &mut self.tables {
                table.observe_digest(engine_id(engine), digest);
            }
        }
    }
}

/// Guards against two homes that together fill an engine beyond its bound, because the former one
/// does not know of the change yet.
#[test]
fn two_homes_together_stay_within_the_bound() {
    run_home_changes(0, 0);
}

/// Guards against homes that admit beyond the bound after a change: requests that the former home
/// granted are still on their way, so that no report of the engine includes them.
#[test]
fn requests_on_their_way_count_when_a_home_changes() {
    run_home_changes(FLIGHT_MS, REPORT_MS);
}

/// Runs random schedules in which requests arrive up to `flight` milliseconds after their grant,
/// and an engine's reports are at least `report` milliseconds apart.
fn run_home_changes(flight: u64, report: u64) {
    let (mut granted, mut changes) = (0, 0);
    for seed in 0..400 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut fleet = Fleet {
            report_every: report,
            ..Fleet::new()
        };
        let mut now = 1;
        for _ in 0..500 {
            now += rng.random_range(0..20);
            let clock = ClockTime(now);
            fleet.notify_former_homes(now);
            let engine = rng.random_range(0..ENGINES);
            match rng.random_range(0..100) {
                0..60 => {
                    let requester = rng.random_range(0..NODES);
                    let home = fleet.homes[engine];
                    let former_home = fleet.former_homes.get(&engine).map(|(old, _)| *old);
                    let home = former_home.filter(|_| rng.random::<bool>()).unwrap_or(home);
                    let flight = rng.random_range(0..=flight);
                    fleet.ask(engine, home, requester, clock, flight);
                }
                60..85 => {
                    let count = fleet.running[engine].len();
                    if count > 0 {
                        let index = rng.random_range(0..count);
                        fleet.finish(engine, index, clock);
                    }
                }
                85..92 => fleet.report(engine, clock),
                92..97 => fleet.spread_digests(clock),
                _ => {
                    changes += 1;
                    let home = rng.random_range(0..NODES);
                    fleet.change_home(engine, home, now, rng.random_range(0..400));
                }
            }
        }
        granted += fleet.granted;
    }
    assert!(granted > 10_000, "only {granted} grants were checked");
    assert!(changes > 3_000, "only {changes} changes of home were made");
}

/// Guards against a new home that ignores the requests of earlier homes: it must wait until
/// `exclusive_from`, and then for a report from after that time, also if `exclusive_from` changes.
#[test]
fn a_new_home_waits_until_it_is_exclusive_and_counts_inherited_load() {
    let mut table = new_table(0);
    let ask = |table: &mut RouteTable, now| {
        let class = AdmissionClass::Returning;
        table.grant_slot(engine_id(0), node_id(1), CustomerKey(1), class, now)
    };
    let report = LoadReport {
        running: 4,
        ..LoadReport::default()
    };
    table.upsert_endpoint(facts(0, 0), ClockTime(5_000));
    table.observe_report(engine_id(0), report, ClockTime(4_000));
    assert!(matches!(
        ask(&mut table, ClockTime(4_500)),
        SlotAnswer::Full { .. }
    ));
    table.upsert_endpoint(facts(0, 0), ClockTime(3_000));
    table.upsert_endpoint(facts(0, 0), ClockTime::ZERO);
    assert!(matches!(
        ask(&mut table, ClockTime(4_600)),
        SlotAnswer::Full { .. }
    ));
    assert_eq!(table.load_of(engine_id(0)), Some(4));
    table.observe_report(engine_id(0), LoadReport::default(), ClockTime(4_700));
    assert!(matches!(
        ask(&mut table, ClockTime(4_800)),
        SlotAnswer::Granted { .. }
    ));
}

/// Guards against requests for engines that are leaving or drained.
#[test]
fn leaving_and_drained_engines_get_no_work() {
    for drained in [false, true] {
        let mut table = new_table(0);
        for engine in 1..ENGINES {
            table.remove_endpoint(engine_id(engine));
        }
        let unavailable = EndpointFacts {
            leaving: !drained,
            drained,
            ..facts(0, 0)
        };
        table.upsert_endpoint(unavailable, ClockTime::ZERO);
        let now = ClockTime(10);
        let query = RouteQuery {
            offer: OFFER,
            hint: Some(engine_id(0)),
            waited: Duration::from_secs(9),
            ..RouteQuery::default()
        };
        let decision = table.choose(&query, now);
        let code = RefusalCode::NoEndpoint;
        assert!(matches!(decision, RouteDecision::Refuse { code: found, .. } if found == code));
        let answer = table.grant_slot(
            engine_id(0),
            node_id(1),
            CustomerKey(1),
            AdmissionClass::Returning,
            now,
        );
        assert!(matches!(answer, SlotAnswer::Full { .. }), "{answer:?}");
    }
}

/// Guards against slots of a lost node that never end and so close engines, or that end while the
/// node's requests may still run.
#[test]
fn slots_of_a_lost_node_expire_after_a_delay() {
    let mut table = new_table(0);
    for _ in 0..3 {
        table.grant_slot(
            engine_id(0),
            node_id(2),
            CustomerKey(1),
            AdmissionClass::Returning,
            ClockTime(1_000),
        );
    }
    assert_eq!(table.load_of(engine_id(0)), Some(3));
    table.expire_node_slots(node_id(2), ClockTime(2_000));
    table.tick(ClockTime(6_900));
    assert_eq!(table.load_of(engine_id(0)), Some(3));
    table.tick(ClockTime(7_000));
    assert_eq!(table.load_of(engine_id(0)), Some(0));
}

/// Guards against slots that count forever because their release was lost.
#[test]
fn load_reports_end_a_slot_whose_release_was_lost() {
    let mut table = new_table(0);
    table.grant_slot(
        engine_id(0),
        node_id(2),
        CustomerKey(1),
        AdmissionClass::Returning,
        ClockTime(1_000),
    );
    for second in 2..5 {
        assert_eq!(table.load_of(engine_id(0)), Some(1));
        table.observe_report(
            engine_id(0),
            LoadReport::default(),
            ClockTime(second * 1000),
        );
    }
    assert_eq!(table.load_of(engine_id(0)), Some(0));
}

/// Guards against a customer with many requests that takes the capacity of all others.
#[test]
fn a_customer_with_many_requests_leaves_capacity_for_others() {
    let mut table = RouteTable::new(RouteSettings {
        node: node_id(0),
        bound: LoadBound {
            multiple: 100.0,
            floor: 100,
        },
        ..RouteSettings::default()
    });
    table.upsert_endpoint(facts(0, 0), ClockTime::ZERO);
    let small = CustomerKey(2);
    let large = CustomerKey(1);
    let now = ClockTime(1);
    table.grant_slot(
        engine_id(0),
        node_id(0),
        small,
        AdmissionClass::Returning,
        now,
    );
    let mut taken = 0;
    while let SlotAnswer::Granted { .. } = table.grant_slot(
        engine_id(0),
        node_id(0),
        large,
        AdmissionClass::Returning,
        now,
    ) {
        taken += 1;
    }
    assert_eq!(
        taken, 63,
        "80 % of a capacity of 80, minus the slot of the small customer"
    );
    let class = AdmissionClass::Arriving;
    let answer = table.grant_slot(engine_id(0), node_id(0), large, class, now);
    assert!(matches!(answer, SlotAnswer::Full { .. }), "{answer:?}");
    let answer = table.grant_slot(engine_id(0), node_id(0), small, class, now);
    assert!(matches!(answer, SlotAnswer::Granted { .. }), "{answer:?}");
    for _ in 0..15 {
        let answer = table.grant_slot(
            engine_id(0),
            node_id(0),
            small,
            AdmissionClass::Returning,
            now,
        );
        assert!(matches!(answer, SlotAnswer::Granted { .. }), "{answer:?}");
    }
}

#[test]
fn the_bound_is_rounded_as_documented() {
    let bound = LoadBound::default();
    let cases = [
        (0.0, 4),
        (3.2, 4),
        (3.3, 5),
        (8.0, 10),
        (8.1, 11),
        (100.0, 125),
    ];
    for (mean, limit) in cases {
        assert_eq!(bound.of_mean(mean), limit, "mean {mean}");
    }
    for tenths in 0..2_000 {
        let mean = f64::from(tenths) / 10.0;
        for members in [1, 3, 12, 750] {
            let limit = bound.for_admission(mean, members, 1.2);
            assert!(limit <= bound.of_mean(mean), "above the bound at {mean}");
            assert!(
                f64::from(limit) > mean,
                "the limit at {mean} would lower the mean"
            );
        }
    }
}

/// Guards against homes that admit beyond the bound because the loads that a lost node reported
/// keep the mean high.
#[test]
fn loads_from_an_unresponsive_node_do_not_raise_the_mean() {
    let mut table = new_table(0);
    for engine in [1, 2, 3, 5] {
        let digest = LoadDigest {
            load: 5,
            ejected: false,
        };
        table.observe_digest(engine_id(engine), digest);
    }
    let ask = |table: &mut RouteTable, engine, requester| {
        let class = AdmissionClass::Returning;
        let answer = table.grant_slot(
            engine_id(engine),
            node_id(requester),
            CustomerKey(1),
            class,
            ClockTime(1_000),
        );
        matches!(answer, SlotAnswer::Granted { .. })
    };
    for requester in [0, 0, 1, 2] {
        assert!(ask(&mut table, 0, requester) && ask(&mut table, 4, requester));
    }
    assert!(table.fleet_mean(FLEET) > 4.0);
    let mut degraded_table = table.clone();
    assert!(ask(&mut table, 0, 0), "within the bound for all loads");

    // Node 1 reported ten requests at its two engines, and holds a slot at each engine of this
    // node.
    degraded_table.mark_unresponsive(node_id(1));
    assert!((degraded_table.fleet_mean(FLEET) - 16.0 / 6.0).abs() < 1e-9);
    assert_eq!(
        degraded_table.load_of(engine_id(0)),
        Some(4),
        "its slots still count here"
    );
    assert!(
        !ask(&mut degraded_table, 0, 0),
        "above the bound for the remaining loads"
    );
    degraded_table.tick(ClockTime(1_100));
    assert!(
        !ask(&mut degraded_table, 0, 0),
        "kept while it is the home of engines"
    );
    degraded_table.mark_responsive(node_id(1));
    assert!(ask(&mut degraded_table, 0, 0));
}
