//! No engine carries more than the bound, whoever sends to it and whoever is its home.

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

/// Longest time in the model from a grant to the arrival of its request, in milliseconds, where
/// requests take time.
const FLIGHT_MS: u64 = 200;

/// Least time between two reports of an engine then, in milliseconds.
const REPORT_MS: u64 = 500;

/// A request that a home has granted.
struct GrantedRequest {
    home: usize,
    slot: SlotId,
    /// When it arrives at its engine.
    arrives_at: u64,
}

/// Several nodes, and what truly runs at each engine.
struct Fleet {
    tables: Vec<RouteTable>,
    /// Requests of each engine, those on their way among them.
    running: Vec<Vec<GrantedRequest>>,
    /// Least time between two reports of an engine, in milliseconds.
    report_every: u64,
    /// When each engine may report next.
    reports_at: Vec<u64>,
    homes: Vec<usize>,
    /// Homes that do not yet know that they are none, and until when.
    former: BTreeMap<usize, (usize, u64)>,
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
            former: BTreeMap::new(),
            granted: 0,
        }
    }

    /// Asks `home` for a slot, whose request arrives `flight` ms later, and checks the bound.
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

    /// Gives the engine another home, which the old one learns of `late` milliseconds later.
    fn change_home(&mut self, engine: usize, home: usize, now: u64, late: u64) {
        let old = self.homes[engine];
        if old == home || self.former.contains_key(&engine) {
            return;
        }
        let exclusive_from = ClockTime(now + late + 1);
        for node in (0..NODES).filter(|node| *node != old) {
            self.tables[node].set_home(engine_id(engine), node_id(home), exclusive_from);
        }
        self.homes[engine] = home;
        self.former.insert(engine, (old, now + late));
    }

    fn tell_former(&mut self, now: u64) {
        let due: Vec<usize> = self
            .former
            .iter()
            .filter(|(_, (_, at))| *at <= now)
            .map(|(engine, _)| *engine)
            .collect();
        for engine in due {
            if let Some((old, at)) = self.former.remove(&engine) {
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

/// Guards against two homes that fill an engine beyond its bound together.
#[test]
fn two_homes_together_stay_within_the_bound() {
    play_changes_of_home(0, 0);
}

/// Guards against two homes that grant for each other's requests on their way.
#[test]
fn requests_on_their_way_count_when_a_home_changes() {
    play_changes_of_home(FLIGHT_MS, REPORT_MS);
}

/// Plays drawn schedules of requests that arrive up to `flight` milliseconds after their grant, and
/// reports of an engine that are `report` apart at the least.
fn play_changes_of_home(flight: u64, report: u64) {
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
            fleet.tell_former(now);
            let engine = rng.random_range(0..ENGINES);
            match rng.random_range(0..100) {
                0..60 => {
                    let requester = rng.random_range(0..NODES);
                    let home = fleet.homes[engine];
                    let former = fleet.former.get(&engine).map(|(old, _)| *old);
                    let home = former.filter(|_| rng.random::<bool>()).unwrap_or(home);
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

/// Guards against work of earlier homes that does not count.
#[test]
fn a_corrected_moment_is_waited_for_and_what_was_left_counts() {
    let mut table = new_table(0);
    let ask = |table: &mut RouteTable, now| {
        let claim = AdmissionClass::Returning;
        table.grant_slot(engine_id(0), node_id(1), CustomerKey(1), claim, now)
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

/// Guards against work for engines that leave or are drained.
#[test]
fn leaving_and_drained_engines_get_no_work() {
    for drained in [false, true] {
        let mut table = new_table(0);
        for engine in 1..ENGINES {
            table.remove_endpoint(engine_id(engine));
        }
        let gone = EndpointFacts {
            leaving: !drained,
            drained,
            ..facts(0, 0)
        };
        table.upsert_endpoint(gone, ClockTime::ZERO);
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

/// Guards against slots of a lost node that close engines for good, or open them too soon.
#[test]
fn slots_of_a_dead_node_end_after_the_hold() {
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

/// Guards against slots that count for good after their release was lost.
#[test]
fn reports_uncover_a_slot_whose_release_was_lost() {
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

/// Guards against a large customer that takes the room of all others.
#[test]
fn a_surging_customer_leaves_room_for_others() {
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
        "80 % of a room of 80, less the one of the small customer"
    );
    let claim = AdmissionClass::Arriving;
    let answer = table.grant_slot(engine_id(0), node_id(0), large, claim, now);
    assert!(matches!(answer, SlotAnswer::Full { .. }), "{answer:?}");
    let answer = table.grant_slot(engine_id(0), node_id(0), small, claim, now);
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
            assert!(f64::from(limit) > mean, "a fleet at {mean} would shrink");
        }
    }
}

/// Guards against homes that go on by the loads of a lost node, and admit beyond the bound.
#[test]
fn what_rests_on_a_silent_node_does_not_raise_the_mean() {
    let mut table = new_table(0);
    for engine in [1, 2, 3, 5] {
        let digest = LoadDigest {
            load: 5,
            ejected: false,
        };
        table.observe_digest(engine_id(engine), digest);
    }
    let ask = |table: &mut RouteTable, engine, requester| {
        let claim = AdmissionClass::Returning;
        let answer = table.grant_slot(
            engine_id(engine),
            node_id(requester),
            CustomerKey(1),
            claim,
            ClockTime(1_000),
        );
        matches!(answer, SlotAnswer::Granted { .. })
    };
    for requester in [0, 0, 1, 2] {
        assert!(ask(&mut table, 0, requester) && ask(&mut table, 4, requester));
    }
    assert!(table.fleet_mean(FLEET) > 4.0);
    let mut lost = table.clone();
    assert!(ask(&mut table, 0, 0), "within the bound of all loads");

    // Node 1 told of ten requests at its two engines, and holds a slot at each of this node's.
    lost.mark_unresponsive(node_id(1));
    assert!((lost.fleet_mean(FLEET) - 16.0 / 6.0).abs() < 1e-9);
    assert_eq!(
        lost.load_of(engine_id(0)),
        Some(4),
        "its slots still count here"
    );
    assert!(
        !ask(&mut lost, 0, 0),
        "above the bound of the loads that are left"
    );
    lost.tick(ClockTime(1_100));
    assert!(
        !ask(&mut lost, 0, 0),
        "not forgotten while its engines are there"
    );
    lost.mark_responsive(node_id(1));
    assert!(ask(&mut lost, 0, 0));
}
