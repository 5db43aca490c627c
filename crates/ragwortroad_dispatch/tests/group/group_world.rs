//! The simulated registries with their disks, links and client, and what is checked of them.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    ops::RangeInclusive, //
};

use ragwortroad_consensus::prelude::*;
use ragwortroad_dispatch::prelude::*;
use ragwortroad_log::prelude::*;
use ragwortroad_types::prelude::*;
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

use crate::group_node::{
    GroupMessage,
    NodeEffect,
    NodeProcess,
    ProcessStart, //
};

/// Time in which a group whose registries are up must have a leader.
pub(crate) const LEADER_LIMIT_MS: u64 = 12_000;

/// Time in which a group whose registries are up must consist of all of them.
pub(crate) const FULL_GROUP_LIMIT_MS: u64 = 60_000;

/// Registries named in the settings.
const SEEDS: usize = 3;

/// Time after which the settings name the successor of a machine.
const SEED_LAG_MS: u64 = 3000;

const LINK_MS: u64 = 5;

const TICK_MS: u64 = 10;

const MAX_VOTERS: usize = 9;

/// As large as milliseconds of the wall clock.
const FIRST_START_NUMBER: u64 = 1_700_000_000_000;

/// Parameters of one run.
#[derive(Clone, Debug)]
pub(crate) struct GroupPlan {
    pub(crate) seed: u64,
    pub(crate) registries: usize,
    /// Disks that may be lost at the same time.
    pub(crate) lost_disks: usize,
    /// Losses that the registries take into account.
    pub(crate) tolerance: LossTolerance,
    pub(crate) sync_ms: RangeInclusive<u64>,
    /// Time that a machine counts as lost after it is back.
    pub(crate) catch_up_ms: u64,
    /// Whether each acknowledgement is checked at its own time, beside what is read back.
    pub(crate) checks_confirmations: bool,
}

/// A scheduled event.
#[derive(Clone, Debug)]
enum GroupEvent {
    Start(usize),
    Tick(usize, u64),
    Deliver {
        from: (usize, u64),
        to: (usize, u64),
        message: GroupMessage,
    },
    Written(usize, u64),
    SeedsChanged {
        from: usize,
        to: usize,
    },
    Client,
    Check,
}

/// A machine of a registry.
#[derive(Default)]
pub(crate) struct GroupNode {
    disk: FakeDisk,
    boot: u64,
    epoch: u64,
    starts: u64,
    /// Kept in the data folder.
    saved_peers: BTreeSet<usize>,
    pub(crate) process: Option<NodeProcess>,
    /// The newest command that was acknowledged before the process started.
    acknowledged_before: u64,
    pub(crate) is_gone: bool,
    /// Time until which the machine counts as lost.
    pub(crate) lost_until: u64,
    /// The removed machine that this one follows.
    follows: Option<usize>,
    /// The member whose data folder is on the disk, and the latest command in it.
    durable: Option<(MemberId, u64)>,
}

/// Times measured in one run, in milliseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupTimes {
    pub(crate) first_acknowledged: Option<u64>,
    /// The first time that the group is full, if that is before any fault.
    pub(crate) first_full: Option<u64>,
    pub(crate) full_after_loss: Vec<u64>,
    pub(crate) leader_after_faults: Option<u64>,
    pub(crate) acknowledged: u64,
    pub(crate) lost_disks: u64,
}

/// The simulated group.
pub(crate) struct GroupWorld {
    pub(crate) plan: GroupPlan,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) now_ms: u64,
    pub(crate) nodes: Vec<GroupNode>,
    /// Registries named in the settings, as of now.
    pub(crate) seeds: Vec<usize>,
    /// Registries on one side of a cut.
    pub(crate) cut: BTreeSet<usize>,
    /// The newest acknowledged command.
    pub(crate) acknowledged: u64,
    /// The registry that acknowledged it.
    pub(crate) acknowledged_by: usize,
    pub(crate) acknowledged_at_ms: u64,
    pub(crate) violation: Option<String>,
    /// What happened to which machine.
    faults: Vec<String>,
    /// Whether no fault has happened yet.
    is_calm: bool,
    pub(crate) times: GroupTimes,
    /// When the last fault ended, or will end.
    pub(crate) last_fault_ms: u64,
    asked: u64,
    asked_at: u64,
    reads: BTreeMap<u64, u64>,
    read_back: Option<u64>,
    leader_seen_ms: u64,
    lost_at: Option<u64>,
    events: BTreeMap<(u64, u64), GroupEvent>,
    next_event: u64,
    next_identity: u64,
}

impl GroupWorld {
    pub(crate) fn new(plan: GroupPlan) -> Self {
        let mut world = Self {
            rng: Pcg64Mcg::seed_from_u64(plan.seed),
            now_ms: 1000,
            nodes: Vec::new(),
            seeds: (0..SEEDS).collect(),
            cut: BTreeSet::new(),
            acknowledged: 0,
            acknowledged_by: 0,
            acknowledged_at_ms: 0,
            violation: None,
            faults: Vec::new(),
            is_calm: true,
            times: GroupTimes::default(),
            last_fault_ms: 1000,
            asked: 0,
            asked_at: 0,
            reads: BTreeMap::new(),
            read_back: None,
            leader_seen_ms: 1000,
            lost_at: None,
            events: BTreeMap::new(),
            next_event: 0,
            next_identity: 1,
            plan,
        };
        for _ in 0..world.plan.registries {
            let delay = world.rng.random_range(0..160);
            world.add_node(delay);
        }
        world.schedule(0, GroupEvent::Client);
        world.schedule(0, GroupEvent::Check);
        world
    }

    fn now(&self) -> ClockTime {
        ClockTime(self.now_ms)
    }

    fn schedule(&mut self, after_ms: u64, event: GroupEvent) {
        self.next_event += 1;
        let key = (self.now_ms + after_ms, self.next_event);
        self.events.insert(key, event);
    }

    pub(crate) fn fail(&mut self, violation: String) {
        let at = self.now_ms - 1000;
        let faults = self.faults.join(", ");
        self.violation
            .get_or_insert_with(|| format!("at {at} ms: {violation}\nafter {faults}"));
    }

    fn note(&mut self, what: &str, node: usize) {
        self.faults
            .push(format!("{} {what} {node}", self.now_ms - 1000));
    }

    /// Adds a machine at a new address, whose registry starts after `delay_ms`.
    pub(crate) fn add_node(&mut self, delay_ms: u64) {
        self.nodes.push(GroupNode::default());
        self.start_after(self.nodes.len() - 1, delay_ms);
    }

    pub(crate) fn start_after(&mut self, node: usize, delay_ms: u64) {
        self.last_fault_ms = self.last_fault_ms.max(self.now_ms + delay_ms);
        self.schedule(delay_ms, GroupEvent::Start(node));
    }

    /// Handles the next event; `false` after a violation.
    pub(crate) fn step(&mut self) -> bool {
        if self.violation.is_some() {
            return false;
        }
        let Some(((at, _), event)) = self.events.pop_first() else {
            return false;
        };
        self.now_ms = at;
        match event {
            GroupEvent::Start(node) => self.start(node),
            GroupEvent::Tick(node, epoch) if self.is_running(node, epoch) => self.tick(node),
            GroupEvent::Written(node, epoch) if self.is_running(node, epoch) => {
                self.with_process(node, |process, now| process.write(now));
            }
            GroupEvent::Deliver { from, to, message } => self.deliver(from, to, message),
            GroupEvent::SeedsChanged { from, to } => self.change_seeds(from, to),
            GroupEvent::Client => self.client_step(),
            GroupEvent::Check => self.check(),
            GroupEvent::Tick(..) | GroupEvent::Written(..) => {}
        }
        true
    }

    /// Runs until `is_reached`, for `limit_ms` at most, and returns whether it was.
    pub(crate) fn run_until(&mut self, limit_ms: u64, is_reached: impl Fn(&Self) -> bool) -> bool {
        let end = self.now_ms + limit_ms;
        while self.now_ms < end {
            if is_reached(self) {
                return true;
            }
            if !self.step() {
                return false;
            }
        }
        is_reached(self)
    }

    pub(crate) fn run_for(&mut self, span_ms: u64) {
        self.run_until(span_ms, |_| false);
    }

    /// Runs until the next acknowledgement, for `limit_ms` at most.
    pub(crate) fn run_until_acknowledged(&mut self, limit_ms: u64) -> bool {
        let before = self.acknowledged;
        self.run_until(limit_ms, |world| world.acknowledged > before)
    }

    fn is_running(&self, node: usize, epoch: u64) -> bool {
        self.nodes[node].process.is_some() && self.nodes[node].epoch == epoch
    }

    pub(crate) fn is_up(&self, node: usize) -> bool {
        self.nodes[node].process.is_some()
    }

    /// Registries that were not removed for good.
    pub(crate) fn present(&self) -> Vec<usize> {
        let all = 0..self.nodes.len();
        all.filter(|&node| !self.nodes[node].is_gone).collect()
    }

    pub(crate) fn lost_count(&self) -> usize {
        let nodes = self.nodes.iter();
        nodes.filter(|node| node.lost_until > self.now_ms).count()
    }

    fn start(&mut self, node: usize) {
        if self.is_up(node) || self.nodes[node].is_gone {
            return;
        }
        self.note("start", node);
        let now = self.now();
        let seed = self.rng.random();
        // In some runs the settings go on to say that the fleet starts for the first time.
        let is_any_gone = self.nodes.iter().any(|node| node.is_gone);
        let keeps_first_start = self.plan.seed.is_multiple_of(2) && !is_any_gone;
        let follows = self.nodes[node].follows;
        let target = &mut self.nodes[node];
        let is_first_start = target.starts == 0 && follows.is_none() || keeps_first_start;
        target.starts += 1;
        target.acknowledged_before = self.acknowledged;
        let start = ProcessStart {
            index: node,
            disk: target.disk.clone(),
            boot: target.boot,
            fresh_identity: 0x9000_0000_0000_0000 + self.next_identity,
            is_first_start,
            seeds: self.seeds.clone(),
            saved_peers: target.saved_peers.clone(),
            tolerance: self.plan.tolerance,
            start: FIRST_START_NUMBER + self.now_ms,
            seed,
        };
        self.next_identity += 1;
        let process = NodeProcess::new(start, now).expect("the folder opens");
        target.process = Some(process);
        self.begin_catch_up(node);
        let epoch = self.nodes[node].epoch;
        self.schedule(0, GroupEvent::Tick(node, epoch));
        self.with_process(node, |_, _| {});
    }

    fn change_seeds(&mut self, from: usize, to: usize) {
        for seed in self.seeds.iter_mut().filter(|seed| **seed == from) {
            *seed = to;
        }
        let seeds = self.seeds.clone();
        for node in 0..self.nodes.len() {
            self.with_process(node, |process, _| process.set_seeds(seeds.clone()));
        }
    }

    /// Lets a process handle something, and performs the effects.
    fn with_process(&mut self, node: usize, handle: impl FnOnce(&mut NodeProcess, ClockTime)) {
        let now = self.now();
        let Some(process) = &mut self.nodes[node].process else {
            return;
        };
        handle(process, now);
        process.settle(now);
        let effects = std::mem::take(&mut process.effects);
        self.note_durable(node);
        for effect in effects {
            self.perform(node, effect);
        }
        let epoch = self.nodes[node].epoch;
        let is_due = |process: &&mut NodeProcess| process.has_writes() && !process.is_writing;
        if let Some(process) = self.nodes[node].process.as_mut().filter(is_due) {
            process.is_writing = true;
            let span = self.rng.random_range(self.plan.sync_ms.clone());
            self.schedule(span, GroupEvent::Written(node, epoch));
        }
    }

    fn perform(&mut self, node: usize, effect: NodeEffect) {
        match effect {
            NodeEffect::Send { to, epoch, message } => {
                let from = (node, self.nodes[node].epoch);
                let to = (to, epoch);
                self.schedule(LINK_MS, GroupEvent::Deliver { from, to, message });
            }
            NodeEffect::Acknowledged { version } => self.acknowledge(node, version),
            NodeEffect::Confirmed { version, members } => {
                self.check_confirmation(version, &members);
            }
            NodeEffect::Read { token, version } => {
                let expected = self.reads.remove(&token).unwrap_or(0);
                self.read_back = Some(version);
                if version < expected {
                    self.fail(format!("lost: a read has {version}, not {expected}"));
                }
            }
            NodeEffect::Recalled { version } => {
                let expected = self.nodes[node].acknowledged_before;
                if version < expected {
                    self.fail(format!("lost: {node} recalled {version}, not {expected}"));
                }
            }
            NodeEffect::Write => {}
        }
    }

    fn acknowledge(&mut self, node: usize, version: u64) {
        let since_start = self.now_ms - 1000;
        self.times.first_acknowledged.get_or_insert(since_start);
        if version > self.acknowledged {
            self.times.acknowledged += 1;
            self.acknowledged = version;
            self.acknowledged_by = node;
            self.acknowledged_at_ms = self.now_ms;
        }
    }

    /// Checks that any tolerated loss of disks leaves a copy of the command and a quorum.
    fn check_confirmation(&mut self, version: u64, members: &MemberSet) {
        let voters = members.voters().count();
        let lost = self.plan.lost_disks;
        let leaves_quorum = voters > lost + voters / 2;
        let has_it =
            |durable: &(MemberId, u64)| members.is_voter(durable.0) && durable.1 >= version;
        let disks = self.nodes.iter().filter_map(|node| node.durable.as_ref());
        let holders = disks.filter(|durable| has_it(durable)).count();
        let is_kept = holders + self.lost_count() > lost;
        if self.plan.checks_confirmations && !(leaves_quorum && is_kept) {
            self.fail(format!(
                "acknowledged {version} with {voters} voters, {holders} of them with the command, \
                 {lost} may be lost"
            ));
        }
    }

    fn note_durable(&mut self, node: usize) {
        let target = &mut self.nodes[node];
        let process = target.process.as_ref();
        target.durable = process.map(|process| (process.identity, process.durable_version));
    }

    /// Voters of `members` that run.
    fn running_voters(&self, members: &MemberSet) -> usize {
        let nodes = self.nodes.iter().filter(|node| !node.is_gone);
        let running = nodes.filter_map(|node| node.process.as_ref());
        running
            .filter(|process| members.is_voter(process.identity))
            .count()
    }

    fn tick(&mut self, node: usize) {
        let epoch = self.nodes[node].epoch;
        let is_reachable = |other: &usize| self.is_up(*other) && !self.is_cut(node, *other);
        let others = (0..self.nodes.len()).filter(is_reachable);
        let reachable = others
            .map(|other| (other, self.nodes[other].epoch))
            .collect();
        self.with_process(node, |process, now| {
            process.update_links(&reachable, now);
            process.input(CoreInput::Tick, now);
        });
        let now = self.now();
        let target = &mut self.nodes[node];
        if let Some(process) = &target.process {
            target.saved_peers = process.known_registries(now);
        }
        self.schedule(TICK_MS, GroupEvent::Tick(node, epoch));
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        self.cut.contains(&one) != self.cut.contains(&other)
    }

    fn deliver(&mut self, from: (usize, u64), to: (usize, u64), message: GroupMessage) {
        if self.is_running(to.0, to.1) && !self.is_cut(from.0, to.0) {
            self.with_process(to.0, |process, now| {
                process.receive(from.0, from.1, message, now);
            });
        }
    }

    /// Puts the next command, or the same again, and reads at a leader.
    fn client_step(&mut self) {
        let next = self.rng.random_range(10..200);
        self.schedule(next, GroupEvent::Client);
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|&node| self.is_up(node))
            .collect();
        if up.is_empty() {
            return;
        }
        if self.asked == self.acknowledged || self.now_ms >= self.asked_at + 500 {
            self.asked = self.acknowledged + 1;
            self.asked_at = self.now_ms;
            let node = up[self.rng.random_range(0..up.len())];
            let version = self.asked;
            self.with_process(node, |process, now| process.put(version, now));
        }
        self.read_at_leader();
    }

    fn read_at_leader(&mut self) {
        if let Some(leader) = self.leader() {
            let token = (1 << 60) + self.next_event;
            self.reads.insert(token, self.acknowledged);
            self.with_process(leader, |process, now| {
                process.input(CoreInput::ReadRequest { token }, now);
            });
        }
    }

    /// The leader of the latest term.
    pub(crate) fn leader(&self) -> Option<usize> {
        let term = |node: &usize| {
            let process = self.nodes[*node].process.as_ref();
            process
                .and_then(|process| process.core.as_ref())
                .map(ConsensusCore::term)
        };
        let leads = |node: &usize| {
            let process = self.nodes[*node].process.as_ref();
            process.is_some_and(NodeProcess::is_leader)
        };
        (0..self.nodes.len()).filter(leads).max_by_key(term)
    }

    /// Whether all registries that may vote do, with their present disks, and a quorum is left of
    /// them after the tolerated losses.
    pub(crate) fn is_full(&self) -> bool {
        let Some(core) = self.leader().and_then(|leader| self.core(leader)) else {
            return false;
        };
        let wanted = self.present().len().min(MAX_VOTERS);
        let wanted = wanted - usize::from(wanted.is_multiple_of(2));
        let members = core.members();
        let voters = members.voters().count();
        let running = self.running_voters(members);
        core.commit_index() >= core.members_index()
            && running >= wanted
            && running >= voters / 2 + 1 + self.plan.lost_disks
            && voters <= MAX_VOTERS
            && !voters.is_multiple_of(2)
    }

    pub(crate) fn core(&self, node: usize) -> Option<&ConsensusCore> {
        let process = self.nodes[node].process.as_ref();
        process.and_then(|process| process.core.as_ref())
    }

    /// Checks now and then that there is a leader, and whether the group is full.
    fn check(&mut self) {
        self.schedule(50, GroupEvent::Check);
        if self.leader().is_some() || !self.cut.is_empty() {
            self.leader_seen_ms = self.now_ms;
        }
        let is_over = self.now_ms >= self.last_fault_ms;
        if is_over && self.leader_seen_ms >= self.last_fault_ms {
            let took = self.leader_seen_ms - self.last_fault_ms;
            self.times.leader_after_faults.get_or_insert(took);
        } else {
            self.times.leader_after_faults = None;
        }
        let since = self.leader_seen_ms.max(self.last_fault_ms);
        if self.now_ms > since + LEADER_LIMIT_MS {
            let states = self.describe();
            self.fail(format!("no leader for 12 s: {states}"));
        }
        if self.is_full() {
            let now = self.now_ms;
            if self.is_calm {
                self.times.first_full.get_or_insert(now - 1000);
            }
            let lost_at = self.lost_at.take();
            self.times
                .full_after_loss
                .extend(lost_at.map(|at| now - at));
        }
    }

    pub(crate) fn describe(&self) -> String {
        let describe = |(index, node): (usize, &GroupNode)| {
            let Some(process) = &node.process else {
                return format!("\n{index}: down, gone {}", node.is_gone);
            };
            let identity = process.identity;
            let core = process.core.as_ref().map(|core| {
                let voters: Vec<_> = core
                    .members()
                    .voters()
                    .map(|voter| voter.0 & 0xff)
                    .collect();
                let leads = core.is_leader();
                let (term, last) = (core.term(), core.last_position());
                let all = core.members().records().len();
                format!("leads {leads} term {term} last {last:?} voters {voters:?} of {all}")
            });
            format!("\n{index}: {} {core:?}", identity.0 & 0xff)
        };
        self.nodes.iter().enumerate().map(describe).collect()
    }

    /// Cuts the power of a machine: the process ends, and writes that were not synced are lost.
    pub(crate) fn cut_power(&mut self, node: usize) {
        self.note("power", node);
        self.is_calm = false;
        let rng = &mut self.rng;
        let target = &mut self.nodes[node];
        target.disk.crash(|below| rng.random_range(0..below));
        target.boot += 1;
        target.epoch += 1;
        target.process = None;
        if target.lost_until > self.now_ms {
            target.lost_until = u64::MAX;
        }
        let follows = target.follows;
        if let Some(lost) = follows.filter(|lost| self.nodes[*lost].lost_until > self.now_ms) {
            self.nodes[lost].lost_until = u64::MAX;
        }
        self.last_fault_ms = self.last_fault_ms.max(self.now_ms);
    }

    /// Cuts the power of a machine whose disk comes back empty. `false` if that would be one loss
    /// more than may be tolerated.
    pub(crate) fn lose_disk(&mut self, node: usize) -> bool {
        let is_lost = self.nodes[node].lost_until > self.now_ms;
        if !is_lost && self.lost_count() >= self.plan.lost_disks {
            return false;
        }
        self.cut_power(node);
        self.note("disk", node);
        let target = &mut self.nodes[node];
        target.disk.lose();
        target.durable = None;
        target.saved_peers.clear();
        target.lost_until = u64::MAX;
        self.times.lost_disks += 1;
        self.lost_at = Some(self.now_ms);
        true
    }

    /// Removes a machine for good; its successor at another address starts after `delay_ms`.
    pub(crate) fn replace_machine(&mut self, node: usize, delay_ms: u64) {
        if self.lose_disk(node) {
            self.note("gone", node);
            self.nodes[node].is_gone = true;
            self.add_node(delay_ms);
            let successor = self.nodes.len() - 1;
            self.nodes[successor].follows = Some(node);
            let changed = GroupEvent::SeedsChanged {
                from: node,
                to: successor,
            };
            self.schedule(delay_ms + SEED_LAG_MS, changed);
        }
    }

    /// Lets the time run for which a machine that is back, or the one it follows, counts as lost.
    /// It does not run during a cut.
    fn begin_catch_up(&mut self, node: usize) {
        if !self.cut.is_empty() || !self.is_up(node) {
            return;
        }
        for lost in [Some(node), self.nodes[node].follows].into_iter().flatten() {
            if self.nodes[lost].lost_until > self.now_ms {
                self.nodes[lost].lost_until = self.now_ms + self.plan.catch_up_ms;
            }
        }
    }

    /// Cuts the registries in `side` off from all others.
    pub(crate) fn cut_off(&mut self, side: BTreeSet<usize>) {
        self.faults
            .push(format!("{} cut {side:?}", self.now_ms - 1000));
        self.cut = side;
        self.is_calm = false;
        let now = self.now_ms;
        for node in self.nodes.iter_mut().filter(|node| node.lost_until > now) {
            node.lost_until = u64::MAX;
        }
    }

    pub(crate) fn heal(&mut self) {
        self.faults.push(format!("{} healed", self.now_ms - 1000));
        self.cut.clear();
        self.last_fault_ms = self.last_fault_ms.max(self.now_ms);
        for node in 0..self.nodes.len() {
            self.begin_catch_up(node);
        }
    }

    /// Runs on without faults and checks that the group recovers and kept all that it acknowledged.
    pub(crate) fn finish(&mut self) {
        let is_over = |world: &Self| world.now_ms >= world.last_fault_ms + LEADER_LIMIT_MS;
        self.run_until(u64::MAX / 2, is_over);
        let expected = self.acknowledged;
        let present = self.present();
        self.read_back = None;
        self.read_at_leader();
        let has_all = |world: &Self| {
            let mut nodes = present.iter();
            let has_it = |node: &usize| {
                let process = world.nodes[*node].process.as_ref();
                process.is_some_and(|process| process.version >= expected)
            };
            world.read_back.is_some() && nodes.all(has_it)
        };
        if !self.run_until(3000, has_all) {
            let states = self.describe();
            self.fail(format!(
                "lost: {expected} is not read back everywhere: {states}"
            ));
        }
        if !self.run_until(FULL_GROUP_LIMIT_MS, Self::is_full) {
            let states = self.describe();
            self.fail(format!("the group is not full: {states}"));
        }
        self.run_for(2 * self.plan.catch_up_ms);
        if !self.is_full() {
            let states = self.describe();
            self.fail(format!("the group does not stay full: {states}"));
        }
    }
}
