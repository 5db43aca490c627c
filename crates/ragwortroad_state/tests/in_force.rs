//! When a change is in force on every node, with drifting clocks, leader changes, lost and delayed
//! messages, restarts and pauses.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use common::SeededRng;
use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;

const DRIFT_PPM: u64 = 50_000;
const LEADER_LEASE_MS: u64 = 1000;

/// A fault injected into the leader, the node or the timing, which the check must detect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PropagationFault {
    None,
    /// Clocks drift, but the timing assumes that they do not.
    IgnoresDrift,
    /// A new leader does not wait for the leases of former leaders.
    SkipsSettling,
    /// The node counts its lease from the arrival of the answer.
    CountsFromAnswer,
    /// The node accepts a lease with an older revision than its own, after a reset of its guard.
    TakesAnyRevision,
    /// A deposed leader continues to grant leases.
    GrantsWithoutLease,
    /// The leader treats a grant as an acknowledgement.
    CountsGrantAsAck,
}

/// A clock that drifts against real time.
#[derive(Clone, Copy, Debug)]
struct DriftClock {
    offset: u64,
    /// Rate of the clock in millionths of real time.
    rate: u64,
}

impl DriftClock {
    fn new(rng: &mut SeededRng) -> Self {
        let drift = rng.below(2 * DRIFT_PPM + 1);
        Self {
            offset: rng.below(100_000),
            rate: 1_000_000 - DRIFT_PPM + drift,
        }
    }

    fn read(&self, real_ms: u64) -> ClockTime {
        ClockTime(self.offset + real_ms * self.rate / 1_000_000)
    }
}

struct SimulatedNode {
    run: NodeRun,
    clock: DriftClock,
    guard: StalenessGuard,
}

struct SimulatedLeader {
    clock: DriftClock,
    table: AdmissionTable,
    /// The newest revision that the leader knows to be accepted.
    revision: u64,
    /// On the leader's own clock.
    lead_until: ClockTime,
}

enum SimulatedMessage {
    LeaseRequest {
        node: usize,
        run: NodeRun,
        request_number: u64,
        revision: u64,
    },
    LeaseAnswer {
        node: usize,
        run: NodeRun,
        request_number: u64,
        revision: u64,
        lease: Duration,
    },
}

struct PropagationSimulation {
    rng: SeededRng,
    fault: PropagationFault,
    timing: FollowTiming,
    real_ms: u64,
    nodes: Vec<SimulatedNode>,
    /// All leaders so far. The last one is the current leader; the others may believe that they
    /// still are.
    leaders: Vec<SimulatedLeader>,
    in_transit: Vec<(u64, usize, SimulatedMessage)>,
    accepted: u64,
    /// The highest revision that was ever reported to be in force everywhere.
    in_force: u64,
    incarnations: u64,
    in_force_reports: u64,
    admitted: u64,
    refused: u64,
}

impl PropagationSimulation {
    fn new(seed: u64, fault: PropagationFault) -> Self {
        let mut rng = SeededRng::new(seed);
        let is_drift_known = fault != PropagationFault::IgnoresDrift;
        let timing = FollowTiming {
            drift_ppm: if is_drift_known { DRIFT_PPM as u32 } else { 0 },
            leader_lease: Duration::from_millis(LEADER_LEASE_MS),
            ..FollowTiming::default()
        };
        let nodes = (0..5).map(|number| SimulatedNode {
            run: NodeRun {
                node: NodeId(number),
                incarnation: number,
            },
            clock: DriftClock::new(&mut rng),
            guard: StalenessGuard::default(),
        });
        let nodes = nodes.collect();
        let mut simulation = Self {
            rng,
            fault,
            timing,
            real_ms: 0,
            nodes,
            leaders: Vec::new(),
            in_transit: Vec::new(),
            accepted: 1,
            in_force: 0,
            incarnations: 100,
            in_force_reports: 0,
            admitted: 0,
            refused: 0,
        };
        simulation.elect();
        simulation
    }

    fn elect(&mut self) {
        let clock = DriftClock::new(&mut self.rng);
        let now = clock.read(self.real_ms);
        let mut table = AdmissionTable::new(self.timing, now, Duration::ZERO);
        if self.fault == PropagationFault::SkipsSettling {
            let bound = Duration::from_secs(60);
            let past = ClockTime(now.0.saturating_sub(bound.as_millis() as u64));
            table = AdmissionTable::new(self.timing, past, Duration::ZERO);
        }
        let lead_until = now.after(self.timing.leader_lease);
        self.leaders.push(SimulatedLeader {
            clock,
            table,
            revision: self.accepted,
            lead_until,
        });
    }

    fn step(&mut self) {
        self.real_ms += self.rng.below(120);
        match self.rng.below(24) {
            0..=9 => self.request_lease(),
            10..=19 => self.deliver_due(),
            20 => self.change(),
            21 if self.rng.chance(20) => self.elect(),
            22 if self.rng.chance(20) => self.restart(),
            23 if self.rng.chance(10) => self.real_ms += self.rng.below(5000),
            _ => self.renew(),
        }
        self.check_in_force();
    }

    /// The current leader renews its lease with a quorum; a deposed one cannot.
    fn renew(&mut self) {
        let (real_ms, lease) = (self.real_ms, self.timing.leader_lease);
        if let Some(leader) = self.leaders.last_mut() {
            leader.lead_until = leader.clock.read(real_ms).after(lease);
        }
    }

    fn change(&mut self) {
        self.accepted += 1;
        self.renew();
        if let Some(leader) = self.leaders.last_mut() {
            leader.revision = self.accepted;
        }
    }

    /// A node requests a lease from a leader that may have been deposed.
    fn request_lease(&mut self) {
        let node_index = self.rng.below(self.nodes.len() as u64) as usize;
        let node = &mut self.nodes[node_index];
        let request_number = node
            .guard
            .start_lease_request(node.clock.read(self.real_ms));
        let message = SimulatedMessage::LeaseRequest {
            node: node_index,
            run: node.run,
            request_number,
            revision: node.guard.revision(),
        };
        let newest = self.leaders.len() as u64;
        let deposed = newest > 1 && self.rng.chance(20);
        let leader = newest - 1 - u64::from(deposed);
        self.send(leader as usize, message);
    }

    fn send(&mut self, leader: usize, message: SimulatedMessage) {
        if self.rng.chance(15) {
            return;
        }
        let slow = self.rng.chance(10);
        let delay = self.rng.below(if slow { 4000 } else { 60 });
        self.in_transit
            .push((self.real_ms + delay, leader, message));
    }

    fn deliver_due(&mut self) {
        while self.deliver() {}
    }

    fn deliver(&mut self) -> bool {
        let due = |(at, ..): &(u64, usize, SimulatedMessage)| *at <= self.real_ms;
        let Some(message_index) = self.in_transit.iter().position(due) else {
            return false;
        };
        let (_, leader, message) = self.in_transit.swap_remove(message_index);
        match message {
            SimulatedMessage::LeaseRequest {
                node,
                run,
                request_number,
                revision,
            } => {
                self.grant(leader, node, run, request_number, revision);
            }
            SimulatedMessage::LeaseAnswer {
                node,
                run,
                request_number,
                revision,
                lease,
            } => {
                self.deliver_answer(node, run, request_number, revision, lease);
            }
        }
        true
    }

    fn grant(
        &mut self,
        leader_index: usize,
        node: usize,
        run: NodeRun,
        request_number: u64,
        revision: u64,
    ) {
        let leader = &mut self.leaders[leader_index];
        let now = leader.clock.read(self.real_ms);
        if now >= leader.lead_until && self.fault != PropagationFault::GrantsWithoutLease {
            return;
        }
        leader.table.acknowledge(run, revision);
        let carried = leader.revision;
        let lease = leader.table.grant(run, carried, now, Duration::ZERO);
        if self.fault == PropagationFault::CountsGrantAsAck {
            leader.table.acknowledge(run, carried);
        }
        let answer = SimulatedMessage::LeaseAnswer {
            node,
            run,
            request_number,
            revision: carried,
            lease,
        };
        self.send(leader_index, answer);
    }

    fn deliver_answer(
        &mut self,
        node_index: usize,
        run: NodeRun,
        request_number: u64,
        revision: u64,
        lease: Duration,
    ) {
        let fault = self.fault;
        let node = &mut self.nodes[node_index];
        if node.run != run {
            return;
        }
        let mut request_number = request_number;
        if fault == PropagationFault::CountsFromAnswer {
            request_number = node
                .guard
                .start_lease_request(node.clock.read(self.real_ms));
        }
        if fault == PropagationFault::TakesAnyRevision && revision < node.guard.revision() {
            node.guard = StalenessGuard::default();
            request_number = node
                .guard
                .start_lease_request(node.clock.read(self.real_ms));
        }
        node.guard.record_adoption(revision);
        node.guard.record_grant(request_number, revision, lease);
    }

    fn restart(&mut self) {
        let node_index = self.rng.below(self.nodes.len() as u64) as usize;
        self.incarnations += 1;
        let node = &mut self.nodes[node_index];
        node.run.incarnation = self.incarnations;
        node.guard = StalenessGuard::default();
    }

    /// Records the revision that the current leader may report as in force.
    fn check_in_force(&mut self) {
        let Some(leader) = self.leaders.last() else {
            return;
        };
        let now = leader.clock.read(self.real_ms);
        if now < leader.lead_until && leader.table.in_force(leader.revision, now).is_ok() {
            self.in_force_reports += u64::from(leader.revision > self.in_force);
            self.in_force = self.in_force.max(leader.revision);
        }
    }

    /// Returns a description of a node that admits work without a change that was reported as in
    /// force.
    fn violation(&mut self) -> Option<String> {
        for node in &self.nodes {
            let admits = node.guard.may_admit(node.clock.read(self.real_ms)).is_ok();
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

fn run_simulation(seed: u64, fault: PropagationFault) -> (PropagationSimulation, Option<String>) {
    let mut simulation = PropagationSimulation::new(seed, fault);
    for _ in 0..4000 {
        simulation.step();
        if let Some(violation) = simulation.violation() {
            return (simulation, Some(violation));
        }
    }
    (simulation, None)
}

/// A node could admit work under a replaced configuration after the change was reported as in
/// force, when clocks drift, messages are delayed, or leaders and nodes restart.
#[test]
fn no_node_admits_work_without_a_change_that_is_in_force() {
    let (mut in_force_reports, mut accepted, mut admitted, mut refused, mut leaders) =
        (0, 0, 0, 0, 0);
    for seed in 0..400 {
        let (simulation, violation) = run_simulation(seed, PropagationFault::None);
        assert_eq!(violation, None, "seed {seed}");
        in_force_reports += simulation.in_force_reports;
        accepted += simulation.accepted;
        admitted += simulation.admitted;
        refused += simulation.refused;
        leaders += simulation.leaders.len();
    }
    println!(
        "400 schedules of 4000 steps: {accepted} changes, {in_force_reports} reported in force, \
         {leaders} leaders, nodes admitting at {admitted} of {} checks",
        admitted + refused
    );
    assert!(in_force_reports > 10_000 && admitted > refused / 4);
}

/// The check must detect each injected fault; otherwise a passing run proves nothing.
#[test]
fn check_detects_each_fault() {
    for fault in [
        PropagationFault::IgnoresDrift,
        PropagationFault::SkipsSettling,
        PropagationFault::CountsFromAnswer,
        PropagationFault::TakesAnyRevision,
        PropagationFault::GrantsWithoutLease,
        PropagationFault::CountsGrantAsAck,
    ] {
        let detected = (0..40)
            .filter(|seed| run_simulation(*seed, fault).1.is_some())
            .count();
        println!("{fault:?}: detected in {detected} of 40 schedules");
        assert!(
            detected >= 10,
            "{fault:?}: detected in {detected} of 40 schedules"
        );
    }
}

/// An operator could wait without being told for which node, or wait forever, if a node that was
/// granted a lease no longer answers.
#[test]
fn in_force_wait_names_nodes_and_ends_at_the_bound() {
    let timing = FollowTiming::default();
    let mut table = AdmissionTable::new(timing, ClockTime(0), Duration::ZERO);
    let wait_end = timing.new_leader_wait(Duration::ZERO);
    let early = table.in_force(1, ClockTime(10)).unwrap_err();
    assert_eq!(early.former_leases_ms, wait_end.as_millis() as u64 - 10);
    let now = ClockTime(0).after(wait_end);
    let runs = [1, 2].map(|node| NodeRun {
        node: NodeId(node),
        incarnation: 7,
    });
    for run in runs {
        table.grant(run, 1, now, Duration::ZERO);
    }
    // Node 1 acknowledges revision 2; node 2 is granted a lease with it and does not answer.
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

/// Without a leader, a node could admit work although the members that did not promise form a
/// quorum, or stop although they do not.
#[test]
fn promises_that_block_a_quorum_extend_admission() {
    let timing = FollowTiming::default();
    for (members, needed) in [(3, 2), (4, 2), (5, 3), (6, 3), (7, 4)] {
        let all: BTreeSet<NodeId> = (0..members).map(NodeId).collect();
        let mut guard = StalenessGuard::default();
        let first = guard.start_lease_request(ClockTime(0));
        guard.record_adoption(4);
        assert!(guard.record_grant(first, 4, Duration::from_secs(3)));
        let later = ClockTime(5000);
        assert!(guard.may_admit(later).is_err());
        let request_number = guard.start_lease_request(later);
        for member in 0..needed {
            assert!(
                guard.may_admit(later).is_err(),
                "{member} promises of {members} members extended admission"
            );
            let mut tracker = PromiseTracker::new(timing, ClockTime(0));
            let lease = tracker.promise(later, 4, 4, false).unwrap();
            assert!(guard.record_promise(request_number, NodeId(member), 4, all.clone(), lease));
            // While the promise lasts, the member writes no change; just after the node has stopped
            // it may.
            let over = later.after(lease);
            assert!(tracker.may_write(over).is_err());
            assert!(tracker.may_write(later.after(timing.bound)).is_ok());
        }
        assert_eq!(guard.may_admit(later), Ok(()));
        guard.record_adoption(5);
        assert!(guard.may_admit(later).is_err());
    }
    // A member with a newer change in its log, or with a leader, does not promise; one that has
    // just started writes no change.
    let mut tracker = PromiseTracker::new(timing, ClockTime(0));
    assert_eq!(tracker.promise(ClockTime(9000), 4, 5, false), None);
    assert_eq!(tracker.promise(ClockTime(9000), 4, 4, true), None);
    assert!(
        PromiseTracker::new(timing, ClockTime(9000))
            .may_write(ClockTime(9001))
            .is_err()
    );
    // A restarted node has no lease that promises could extend.
    let mut guard = StalenessGuard::default();
    let request_number = guard.start_lease_request(ClockTime(0));
    assert!(!guard.record_promise(
        request_number,
        NodeId(1),
        0,
        [NodeId(1)].into(),
        Duration::from_secs(9)
    ));
}

/// A new leader that knew only a shortened grace period could report a change as in force while
/// leases with the longer one are still running.
#[test]
fn former_grace_is_kept_until_its_leases_expire() {
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
