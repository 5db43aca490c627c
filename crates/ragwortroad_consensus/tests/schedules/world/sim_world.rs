use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    ops::Range, //
};

use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

use ragwortroad_consensus::prelude::*;
use ragwortroad_log::prelude::*;
use ragwortroad_types::prelude::*;

use super::{
    SimChecker,
    SimClock,
    SimCounts,
    SimNode,
    SimOperator,
    SimPlan,
    SimProcess,
    SimState, //
};

/// A scheduled event.
#[derive(Clone, Debug)]
pub(crate) enum SimEvent {
    Start(usize),
    Tick(usize, u64),
    Deliver(usize, Vec<u8>),
    Written(usize, u64),
    Resume(usize, u64),
    Heal(usize, usize),
    Client,
    Fault,
    RunOperator,
}

/// The simulated group with its disks, clocks and messages.
pub(crate) struct SimWorld {
    pub(crate) plan: SimPlan,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) now_us: u64,
    pub(crate) nodes: Vec<SimNode>,
    /// Directed links on which messages are dropped.
    pub(crate) partitions: BTreeSet<(usize, usize)>,
    pub(crate) checker: SimChecker,
    pub(crate) counts: SimCounts,
    pub(crate) operator: SimOperator,
    pub(crate) is_fault_free: bool,
    /// Time that each write takes; `None` for that of the plan.
    pub(crate) sync_us: Option<Range<u64>>,
    /// Time that each write of a node takes; overrides `sync_us`.
    pub(crate) node_sync_us: BTreeMap<usize, Range<u64>>,
    /// Whether most writes take little of the range and few take nearly all of it.
    pub(crate) is_sync_uneven: bool,
    /// By how much the time of day has gone back on all nodes.
    pub(crate) clock_step_us: u64,
    events: BTreeMap<(u64, u64), SimEvent>,
    next_event: u64,
    pub(crate) next_token: u64,
    next_identity: u64,
    initial_members: Option<MemberSet>,
}

/// As large as random identities are, because of their size in messages.
const FIRST_IDENTITY: u64 = 0x9000_0000_0000_0000;

/// As large as milliseconds of the wall clock.
const FIRST_START_NUMBER: u64 = 1_700_000_000_000;

const TICK_US: u64 = 20_000;

impl SimWorld {
    pub(crate) fn new(plan: SimPlan) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let nodes = (0..plan.nodes)
            .map(|_| {
                SimNode::new(SimClock {
                    offset_us: rng.random_range(0..10_000_000),
                    drift_ppm: plan.drift_ppm * rng.random_range(-1..=1),
                })
            })
            .collect();
        let mut world = Self {
            rng,
            now_us: 1000,
            nodes,
            partitions: BTreeSet::new(),
            checker: SimChecker::default(),
            counts: SimCounts {
                schedules: 1,
                ..SimCounts::default()
            },
            operator: SimOperator::default(),
            is_fault_free: false,
            sync_us: None,
            node_sync_us: BTreeMap::new(),
            is_sync_uneven: false,
            clock_step_us: 0,
            events: BTreeMap::new(),
            next_event: 0,
            next_token: 1,
            next_identity: FIRST_IDENTITY,
            initial_members: None,
            plan,
        };
        world.bootstrap();
        world
    }

    /// Lets the first node bootstrap the group with the identities that the other nodes will have.
    fn bootstrap(&mut self) {
        let voters = (0..self.plan.initial_members).map(|node| {
            let identity = MemberId(self.next_identity + node as u64);
            (identity, NodeId(node as u64))
        });
        self.initial_members = Some(MemberSet::from_voters(voters));
        for node in 0..self.plan.nodes {
            self.start(node);
        }
        self.schedule(50_000, SimEvent::Client);
        self.schedule(300_000, SimEvent::Fault);
        self.schedule(200_000, SimEvent::RunOperator);
    }

    pub(crate) fn schedule(&mut self, after_us: u64, event: SimEvent) {
        self.next_event += 1;
        let key = (self.now_us + after_us, self.next_event);
        self.events.insert(key, event);
    }

    /// Runs until the true time `until_us`, or until the first violation.
    pub(crate) fn run_until(&mut self, until_us: u64) {
        while self.checker.violation.is_none() {
            let Some(entry) = self.events.first_entry() else {
                break;
            };
            if entry.key().0 > until_us {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now_us = self.now_us.max(at);
            self.counts.steps += 1;
            self.handle_event(event);
        }
        self.now_us = self.now_us.max(until_us);
    }

    fn handle_event(&mut self, event: SimEvent) {
        let target = match event {
            SimEvent::Tick(node, _) | SimEvent::Deliver(node, _) | SimEvent::Written(node, _) => {
                Some(node)
            }
            _ => None,
        };
        if let Some(node) = target.filter(|&node| self.nodes[node].is_paused) {
            return self.nodes[node].backlog.push(event);
        }
        match event {
            SimEvent::Start(node) => self.start(node),
            SimEvent::Tick(node, epoch) => self.tick(node, epoch),
            SimEvent::Deliver(node, bytes) => self.deliver(node, &bytes),
            SimEvent::Written(node, epoch) => self.write(node, epoch),
            SimEvent::Resume(node, epoch) => self.resume_node(node, epoch),
            SimEvent::Heal(from, to) => {
                self.partitions.remove(&(from, to));
            }
            SimEvent::Client => self.client_step(),
            SimEvent::Fault => self.fault(),
            SimEvent::RunOperator => self.run_operator(),
        }
    }

    pub(crate) fn start(&mut self, node: usize) {
        if self.nodes[node].process.is_some() {
            return;
        }
        let fresh_identity = self.next_identity;
        let settings = FolderSettings {
            fresh_identity,
            boot_id: self.nodes[node].boot.to_string(),
            min_start: self.time_of_day(node),
            ..FolderSettings::default()
        };
        let disk = self.nodes[node].disk.clone();
        let (folder, stored) = match LogFolder::open_on(DiskPort::Fake(disk), &settings) {
            Ok(opened) => opened,
            Err(LogError::Disk { .. }) => return self.crash(node),
            Err(error) => {
                return self
                    .checker
                    .record_violation(format!("node {node} cannot open: {error}"));
            }
        };
        if stored.identity == fresh_identity {
            self.next_identity += 1;
        }
        self.nodes[node].member = Some(MemberId(stored.identity));
        let is_bootstrapping = node == 0 && stored.is_new && self.now_us <= 1000;
        let start = CoreStart {
            stored,
            initial_members: self.initial_members.clone().filter(|_| is_bootstrapping),
        };
        let now = self.local_time(node);
        let seed = self.rng.random();
        let created = ConsensusCore::new(self.plan.core.clone(), start, now, seed);
        let (core, actions) = created.expect("the core starts from the folder");
        let accepted_before = self.checker.last_accepted();
        self.nodes[node].process = Some(SimProcess::new(core, folder, accepted_before));
        let epoch = self.nodes[node].epoch;
        self.schedule(TICK_US, SimEvent::Tick(node, epoch));
        self.run_actions(node, actions);
    }

    /// The time of day on a node, which its steps set back or ahead.
    fn time_of_day(&self, node: usize) -> u64 {
        let range = self.plan.wall_step_ms * 1000 + 1;
        // Other draws stay the same without steps.
        let mut rng = Pcg64Mcg::seed_from_u64(self.now_us ^ node as u64);
        let step: u64 = rng.random_range(0..range);
        FIRST_START_NUMBER + self.now_us + step - self.clock_step_us
    }

    pub(crate) fn local_time(&self, node: usize) -> ClockTime {
        self.nodes[node].clock.reading(self.now_us)
    }

    fn tick(&mut self, node: usize, epoch: u64) {
        if self.nodes[node].epoch == epoch {
            self.input(node, CoreInput::Tick);
            let now = self.local_time(node);
            let core = self.nodes[node].core();
            if core.is_some_and(|core| !core.has_failed() && core.wake_at() <= now) {
                let violation = format!("node {node} requests its next tick in the past, at {now}");
                self.checker.record_violation(violation);
            }
            self.schedule(TICK_US, SimEvent::Tick(node, epoch));
        }
    }

    /// Passes an input to a node's core and performs the actions that it returns.
    pub(crate) fn input(&mut self, node: usize, input: CoreInput) {
        let now = self.local_time(node);
        let Some(process) = &mut self.nodes[node].process else {
            return;
        };
        let actions = process.core.handle(input, now);
        self.run_actions(node, actions);
    }

    fn run_actions(&mut self, node: usize, actions: Vec<CoreAction>) {
        let mut wanted = None;
        for action in actions {
            if let CoreAction::TakeSnapshot { index } = action {
                wanted = Some(index);
            } else {
                self.run_action(node, action);
            }
        }
        if let Some(index) = wanted {
            self.send_snapshot(node, index);
        }
        let core = self.nodes[node].core();
        if let Some((id, term)) = core
            .filter(|core| core.is_leader())
            .map(|core| (core.id(), core.term()))
            && self.checker.record_leader(id, term)
        {
            self.counts.elections += 1;
        }
        self.check_acting();
        self.check_recall(node);
    }

    /// Checks that a recalled log holds all that was accepted before the process started.
    fn check_recall(&mut self, node: usize) {
        let Some(process) = &mut self.nodes[node].process else {
            return;
        };
        let recalled = process.core.recalled_index();
        if recalled != process.recalled {
            process.recalled = recalled;
            self.counts.recalls += 1;
            let expected = process.accepted_before;
            self.checker.check_recall(recalled.unwrap_or(0), expected);
        }
    }

    /// Checks that at most one node would act as leader by its own clock, paused or not.
    fn check_acting(&mut self) {
        let mut acting = Vec::new();
        for node in &self.nodes {
            let now = node.clock.reading(self.now_us);
            let core = node.core().filter(|core| core.may_act_as_leader(now));
            acting.extend(core.map(ConsensusCore::id));
        }
        self.checker.check_acting_leaders(&acting);
    }

    fn run_action(&mut self, node: usize, action: CoreAction) {
        let Some(process) = &mut self.nodes[node].process else {
            return;
        };
        match action {
            CoreAction::Persist { batch, change } => {
                process.writes.push_back((batch, change));
                self.start_write(node);
            }
            CoreAction::Send(frame) => self.send(node, &frame),
            CoreAction::Apply { index, command, .. } => {
                process.state.apply(index, &command);
                self.checker.record_apply(process.state, &command);
            }
            CoreAction::RestoreSnapshot { index, bytes } => {
                process.state = SimState::from_bytes(&bytes);
                self.counts.restores += 1;
                self.checker.check_restore(index, process.state);
            }
            CoreAction::ProposeDone { token, result } => {
                let command = process.commands.remove(&token);
                if let ProposeResult::Committed { index, .. } = result {
                    match command {
                        Some(command) => {
                            self.counts.accepted += 1;
                            self.checker.record_accepted(index, command);
                        }
                        None => self.counts.member_changes += 1,
                    }
                }
            }
            CoreAction::ReadReady { token, index } => {
                let expected = process.reads.remove(&token).unwrap_or(u64::MAX);
                self.counts.reads_ready += 1;
                self.checker
                    .check_read(index, process.state.index, expected);
            }
            CoreAction::ReadRefused { .. }
            | CoreAction::TakeSnapshot { .. }
            | CoreAction::LeaderChanged { .. }
            | CoreAction::MembersChanged { .. } => {}
        }
    }

    /// Called only after all actions of the previous input, so that no batch overtakes another.
    fn send_snapshot(&mut self, node: usize, index: u64) {
        let process = self.nodes[node].process.as_ref();
        if let Some(bytes) = process.map(|process| process.state.to_bytes()) {
            self.input(node, CoreInput::SnapshotTaken { index, bytes });
        }
    }

    fn start_write(&mut self, node: usize) {
        let is_slow = self.chance(self.plan.slow_write_percent);
        let max_latency_us = if is_slow { 300_000 } else { 8000 };
        let own = self.node_sync_us.get(&node).or(self.sync_us.as_ref());
        let range = own.cloned().unwrap_or(200..max_latency_us);
        let latency = match self.is_sync_uneven {
            true => {
                let ratio = range.end as f64 / range.start as f64;
                (range.start as f64 * ratio.powf(self.rng.random::<f64>())) as u64
            }
            false => self.rng.random_range(range),
        };
        let epoch = self.nodes[node].epoch;
        let Some(process) = &mut self.nodes[node].process else {
            return;
        };
        if !process.is_writing {
            process.is_writing = true;
            self.schedule(latency, SimEvent::Written(node, epoch));
        }
    }

    fn write(&mut self, node: usize, epoch: u64) {
        let has_ended = self.nodes[node].epoch != epoch;
        let Some(process) = self.nodes[node].process.as_mut().filter(|_| !has_ended) else {
            return;
        };
        process.is_writing = false;
        match process.write_group() {
            Ok(Some(batch)) => self.input(node, CoreInput::Persisted { batch }),
            Ok(None) => {}
            Err(LogError::Disk { .. }) if self.nodes[node].disk.has_stopped() => {
                self.counts.torn_writes += 1;
                self.crash(node);
            }
            Err(LogError::Disk { .. } | LogError::WritesRefused) => {
                self.counts.failed_writes += 1;
                self.input(node, CoreInput::PersistFailed);
            }
            Err(error) => self
                .checker
                .record_violation(format!("node {node} cannot write: {error}")),
        }
        let process = self.nodes[node].process.as_ref();
        if process.is_some_and(|process| !process.writes.is_empty()) {
            self.start_write(node);
        }
    }

    fn deliver(&mut self, node: usize, bytes: &[u8]) {
        let frame = PeerFrame::decode(bytes).expect("a frame decodes");
        self.input(node, CoreInput::Frame(frame));
    }

    /// Runs the whole plan and returns the first violation, if any.
    pub(crate) fn run(&mut self) -> Option<String> {
        self.run_until(self.plan.fault_ms * 1000);
        self.end_faults();
        let end = self.now_us + self.plan.fault_free_ms * 1000;
        self.run_until(end);
        if self.checker.violation.is_none() {
            self.check_progress();
        }
        self.checker.violation.clone()
    }
}
