//! When a change counts as in force on every node, under drifting clocks, leader changes, lost
//! and late messages, restarts and pauses.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use common::SeededDraw;
use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

const DRIFT_PPM: u64 = 50_000;
const LEADER_LEASE_MS: u64 = 1000;

/// A fault put into the leader, the node or the timing, which the check must notice.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ForceFault {
    None,
    /// Clocks drift and the timing does not know.
    IgnoresDrift,
    /// A new leader counts on silence at once.
    SkipsSettling,
    /// The node counts its lease from the answer.
    CountsFromAnswer,
    /// The node takes a leader's leave with an older revision than its own, after a restart of
    /// its guard forgets what it had.
    TakesAnyRevision,
    /// A deposed leader goes on granting.
    GrantsWithoutLease,
    /// The leader takes the grant for an acknowledgement.
    CountsGrantAsAck,
}

/// A clock that runs at a rate of its own.
#[derive(Clone, Copy, Debug)]
struct DriftClock {
    offset: u64,
    /// Millionths of true time per millisecond.
    rate: u64,
}

impl DriftClock {
    fn new(draw: &mut SeededDraw) -> Self {
        let drift = draw.below(2 * DRIFT_PPM + 1);
        Self {
            offset: draw.below(100_000),
            rate: 1_000_000 - DRIFT_PPM + drift,
        }
    }

    fn read(&self, true_ms: u64) -> ClockTime {
        ClockTime(self.offset + true_ms * self.rate / 1_000_000)
    }
}

struct ForceNode {
    run: NodeRun,
    clock: DriftClock,
    guard: StalenessGuard,
}

struct ForceLeader {
    clock: DriftClock,
    table: AdmissionTable,
    /// The newest revision it knows to be accepted.
    revision: u64,
    /// By its own clock.
    lead_until: ClockTime,
}

enum ForceMessage {
    Ask {
        node: usize,
        run: NodeRun,
        ask: u64,
        revision: u64,
    },
    Answer {
        node: usize,
        run: NodeRun,
        ask: u64,
        revision: u64,
        lease: Duration,
    },
}

struct ForceWorld {
    draw: SeededDraw,
    fault: ForceFault,
    timing: FollowTiming,
    true_ms: u64,
    nodes: Vec<ForceNode>,
    /// The last one is in charge; the others may believe so.
    leaders: Vec<ForceLeader>,
    wire: Vec<(u64, usize, ForceMessage)>,
    accepted: u64,
    /// The highest revision ever said to be in force everywhere.
    in_force: u64,
    incarnations: u64,
    said: u64,
    admitted: u64,
    refused: u64,
}

impl ForceWorld {
    fn new(seed: u64, fault: ForceFault) -> Self {
        let mut draw = SeededDraw::new(seed);
        let knows_drift = fault != ForceFault::IgnoresDrift;
        let timing = FollowTiming {
            drift_ppm: if knows_drift { DRIFT_PPM as u32 } else { 0 },
            leader_lease: Duration::from_millis(LEADER_LEASE_MS),
            ..FollowTiming::default()
        };
        let nodes = (0..5).map(|number| ForceNode {
            run: NodeRun {
                node: NodeId(number),
                incarnation: number,
            },
            clock: DriftClock::new(&mut draw),
            guard: StalenessGuard::default(),
        });
        let nodes = nodes.collect();
        let mut world = Self {
            draw,
            fault,
            timing,
            true_ms: 0,
            nodes,
            leaders: Vec::new(),
            wire: Vec::new(),
            accepted: 1,
            in_force: 0,
            incarnations: 100,
            said: 0,
            admitted: 0,
            refused: 0,
        };
        world.elect();
        world
    }

    fn elect(&mut self) {
        let clock = DriftClock::new(&mut self.draw);
        let now = clock.read(self.true_ms);
        let mut table = AdmissionTable::new(self.timing, now, Duration::ZERO);
        if self.fault == ForceFault::SkipsSettling {
            let bound = Duration::from_secs(60);
            let past = ClockTime(now.0.saturating_sub(bound.as_millis() as u64));
            table = AdmissionTable::new(self.timing, past, Duration::ZERO);
        }
        let lead_until = now.after(self.timing.leader_lease);
        self.leaders.push(ForceLeader {
            clock,
            table,
            revision: self.accepted,
            lead_until,
        });
    }

    fn step(&mut self) {
        self.true_ms += self.draw.below(120);
        match self.draw.below(24) {
            0..=9 => self.ask(),
            10..=19 => self.deliver_due(),
            20 => self.change(),
            21 if self.draw.chance(20) => self.elect(),
            22 if self.draw.chance(20) => self.restart(),
            23 if self.draw.chance(10) => self.true_ms += self.draw.below(5000),
            _ => self.renew(),
        }
        self.check_in_force();
    }

    /// The leader in charge asks its quorum; a deposed one gets no answer.
    fn renew(&mut self) {
        let (true_ms, lease) = (self.true_ms, self.timing.leader_lease);
        if let Some(leader) = self.leaders.last_mut() {
            leader.lead_until = leader.clock.read(true_ms).after(lease);
        }
    }

    fn change(&mut self) {
        self.accepted += 1;
        self.renew();
        if let Some(leader) = self.leaders.last_mut() {
            leader.revision = self.accepted;
        }
    }

    /// A node asks a leader, which may be one that was deposed.
    fn ask(&mut self) {
        let place = self.draw.below(self.nodes.len() as u64) as usize;
        let node = &mut self.nodes[place];
        let ask = node
            .guard
            .start_lease_request(node.clock.read(self.true_ms));
        let message = ForceMessage::Ask {
            node: place,
            run: node.run,
            ask,
            revision: node.guard.revision(),
        };
        let newest = self.leaders.len() as u64;
        let deposed = newest > 1 && self.draw.chance(20);
        let leader = newest - 1 - u64::from(deposed);
        self.send(leader as usize, message);
    }

    fn send(&mut self, leader: usize, message: ForceMessage) {
        if self.draw.chance(15) {
            return;
        }
        let slow = self.draw.chance(10);
        let delay = self.draw.below(if slow { 4000 } else { 60 });
        self.wire.push((self.true_ms + delay, leader, message));
    }

    fn deliver_due(&mut self) {
        while self.deliver() {}
    }

    fn deliver(&mut self) -> bool {
        let due = |(at, ..): &(u64, usize, ForceMessage)| *at <= self.true_ms;
        let Some(place) = self.wire.iter().position(due) else {
            return false;
        };
        let (_, leader, message) = self.wire.swap_remove(place);
        match message {
            ForceMessage::Ask {
                node,
                run,
                ask,
                revision,
            } => {
                self.grant(leader, node, run, ask, revision);
            }
            ForceMessage::Answer {
                node,
                run,
                ask,
                revision,
                lease,
            } => {
                self.confirm(node, run, ask, revision, lease);
            }
        }
        true
    }

    fn grant(&mut self, place: usize, node: usize, run: NodeRun, ask: u64, revision: u64) {
        let leader = &mut self.leaders[place];
        let now = leader.clock.read(self.true_ms);
        if now >= leader.lead_until && self.fault != ForceFault::GrantsWithoutLease {
            return;
        }
        leader.table.acknowledge(run, revision);
        let carried = leader.revision;
        let lease = leader.table.grant(run, carried, now, Duration::ZERO);
        if self.fault == ForceFault::CountsGrantAsAck {
            leader.table.acknowledge(run, carried);
        }
        let answer = ForceMessage::Answer {
            node,
            run,
            ask,
            revision: carried,
            lease,
        };
        self.send(place, answer);
    }

    fn confirm(&mut self, place: usize, run: NodeRun, ask: u64, revision: u64, lease: Duration) {
        let fault = self.fault;
        let node = &mut self.nodes[place];
        if node.run != run {
            return;
        }
        let mut ask = ask;
        if fault == ForceFault::CountsFromAnswer {
            ask = node
                .guard
                .start_lease_request(node.clock.read(self.true_ms));
        }
        if fault == ForceFault::TakesAnyRevision && revision < node.guard.revision() {
            node.guard = StalenessGuard::default();
            ask = node
                .guard
                .start_lease_request(node.clock.read(self.true_ms));
        }
        node.guard.record_adoption(revision);
        node.guard.record_grant(ask, revision, lease);
    }

    fn restart(&mut self) {
        let place = self.draw.below(self.nodes.len() as u64) as usize;
        self.incarnations += 1;
        let node = &mut self.nodes[place];
        node.run.incarnation = self.incarnations;
        node.guard = StalenessGuard::default();
    }

    /// The leader in charge says what is in force, as far as it may.
    fn check_in_force(&mut self) {
        let Some(leader) = self.leaders.last() else {
            return;
        };
        let now = leader.clock.read(self.true_ms);
        if now < leader.lead_until && leader.table.in_force(leader.revision, now).is_ok() {
            self.said += u64::from(leader.revision > self.in_force);
            self.in_force = self.in_force.max(leader.revision);
        }
    }

    /// A node that admits work without a change that was said to be in force.
    fn violation(&mut self) -> Option<String> {
        for node in &self.nodes {
            let admits = node.guard.may_admit(node.clock.read(self.true_ms)).is_ok();
            self.admitted += u64::from(admits);
            self.refused += u64::from(!admits);
            if admits && node.guard.revision() < self.in_force {
                let (run, revision) = (node.run, node.guard.revision());
                return Some(format!(
                    "{run:?} admits at {revision}, {} is in force",
                    self.in_force
                ));
            }
        }
        None
    }
}

fn run_world(seed: u64, fault: ForceFault) -> (ForceWorld, Option<String>) {
    let mut world = ForceWorld::new(seed, fault);
    for _ in 0..4000 {
        world.step();
        if let Some(violation) = world.violation() {
            return (world, Some(violation));
        }
    }
    (world, None)
}

/// Guards against nodes that admit by a configuration that was replaced.
#[test]
fn no_node_admits_work_without_a_change_that_is_in_force() {
    let (mut said, mut accepted, mut admitted, mut refused, mut leaders) = (0, 0, 0, 0, 0);
    for seed in 0..400 {
        let (world, violation) = run_world(seed, ForceFault::None);
        assert_eq!(violation, None, "seed {seed}");
        said += world.said;
        accepted += world.accepted;
        admitted += world.admitted;
        refused += world.refused;
        leaders += world.leaders.len();
    }
    println!(
        "400 schedules of 4000 steps: {accepted} changes, {said} times in force, {leaders} \
         leaders, nodes admitting at {admitted} of {} looks",
        admitted + refused
    );
    assert!(said > 10_000 && admitted > refused / 4);
}

/// The check above is worth something only if it notices what goes wrong.
#[test]
fn the_check_notices_each_fault() {
    for fault in [
        ForceFault::IgnoresDrift,
        ForceFault::SkipsSettling,
        ForceFault::CountsFromAnswer,
        ForceFault::TakesAnyRevision,
        ForceFault::GrantsWithoutLease,
        ForceFault::CountsGrantAsAck,
    ] {
        let noticed = (0..40)
            .filter(|seed| run_world(*seed, fault).1.is_some())
            .count();
        println!("{fault:?}: noticed in {noticed} of 40 schedules");
        assert!(
            noticed >= 10,
            "{fault:?}: noticed in {noticed} of 40 schedules"
        );
    }
}

/// Guards against waits that do not name the node, or never end.
#[test]
fn the_wait_names_the_nodes_and_ends_at_the_bound() {
    let timing = FollowTiming::default();
    let mut table = AdmissionTable::new(timing, ClockTime(0), Duration::ZERO);
    let settled = timing.new_leader_wait(Duration::ZERO);
    let early = table.in_force(1, ClockTime(10)).unwrap_err();
    assert_eq!(early.former_leases_ms, settled.as_millis() as u64 - 10);
    let now = ClockTime(0).after(settled);
    let runs = [1, 2].map(|node| NodeRun {
        node: NodeId(node),
        incarnation: 7,
    });
    for run in runs {
        table.grant(run, 1, now, Duration::ZERO);
    }
    // Node 1 takes revision 2 up; node 2 got it granted and does not answer.
    table.acknowledge(runs[0], 2);
    table.grant(
        runs[1],
        2,
        now.after(Duration::from_millis(500)),
        Duration::ZERO,
    );
    assert_eq!(table.in_force(2, now).unwrap_err().nodes, [NodeId(2)]);
    let last = now.after(timing.bound - Duration::from_millis(1));
    assert_eq!(table.in_force(2, last).unwrap_err().nodes, [NodeId(2)]);
    assert_eq!(table.in_force(2, now.after(timing.bound)), Ok(()));
    assert!(timing.node_lease(Duration::ZERO) < timing.bound);
}

/// Guards against nodes that go on with too few promises, or stop with enough.
#[test]
fn promises_of_enough_members_stand_in_for_a_leader() {
    let timing = FollowTiming::default();
    for (members, needed) in [(3, 2), (4, 2), (5, 3), (6, 3), (7, 4)] {
        let all: BTreeSet<NodeId> = (0..members).map(NodeId).collect();
        let mut guard = StalenessGuard::default();
        let first = guard.start_lease_request(ClockTime(0));
        guard.record_adoption(4);
        assert!(guard.record_grant(first, 4, Duration::from_secs(3)));
        let later = ClockTime(5000);
        assert!(guard.may_admit(later).is_err());
        let ask = guard.start_lease_request(later);
        for member in 0..needed {
            assert!(
                guard.may_admit(later).is_err(),
                "{member} of {members} were enough"
            );
            let mut book = PromiseTracker::new(timing, ClockTime(0));
            let lease = book.promise(later, 4, 4, false).unwrap();
            assert!(guard.record_promise(ask, NodeId(member), 4, all.clone(), lease));
            // While the promise runs the member writes no change; just after the node has stopped
            // it may.
            let over = later.after(lease);
            assert!(book.may_write(over).is_err());
            assert!(book.may_write(later.after(timing.bound)).is_ok());
        }
        assert_eq!(guard.may_admit(later), Ok(()));
        guard.record_adoption(5);
        assert!(guard.may_admit(later).is_err());
    }
    // A member that has a newer change in its log, hears a leader, or has just started refuses
    // what would rest on it.
    let mut book = PromiseTracker::new(timing, ClockTime(0));
    assert_eq!(book.promise(ClockTime(9000), 4, 5, false), None);
    assert_eq!(book.promise(ClockTime(9000), 4, 4, true), None);
    assert!(
        PromiseTracker::new(timing, ClockTime(9000))
            .may_write(ClockTime(9001))
            .is_err()
    );
    // A node that restarted has nothing to go on with.
    let mut guard = StalenessGuard::default();
    let ask = guard.start_lease_request(ClockTime(0));
    assert!(!guard.record_promise(
        ask,
        NodeId(1),
        0,
        [NodeId(1)].into(),
        Duration::from_secs(9)
    ));
}

/// Guards against a new leader that forgets a longer grace.
#[test]
fn a_shorter_grace_is_remembered_until_the_longer_one_is_over() {
    let mut state = FleetState::default();
    let set = |state: &mut FleetState, index: u64, at_ms: u64, seconds: u32| {
        let policy = QuorumLoss::GoOn { seconds };
        let edits = vec![ConfigEdit::SetQuorumLoss { policy }];
        let change = common::change(&format!("c{index}"), index - 1, edits);
        let command = common::command(at_ms, StateAction::Change(change));
        state.apply(index, &command.to_bytes()).unwrap();
    };
    set(&mut state, 1, 0, 30);
    set(&mut state, 2, 1000, 5);
    assert_eq!(state.longest_grace(), Duration::from_secs(30));
    let restored = FleetState::from_snapshot(&state.to_snapshot()).unwrap();
    assert_eq!(restored.longest_grace(), Duration::from_secs(30));
    let tick = common::command(1000 + 120_000, StateAction::Tick);
    state.apply(3, &tick.to_bytes()).unwrap();
    assert_eq!(state.longest_grace(), Duration::from_secs(5));
}
