//! A registry with the parts that form the group: the core, the log, links, hellos and proposals.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    time::Duration, //
};

use ragwortroad_consensus::prelude::*;
use ragwortroad_dispatch::prelude::*;
use ragwortroad_log::prelude::*;
use ragwortroad_types::prelude::*;

const HELLO_INTERVAL: Duration = Duration::from_secs(1);

const FORMING_HELLO_INTERVAL: Duration = Duration::from_millis(150);

const VOTER_PLAN_INTERVAL: Duration = Duration::from_millis(50);

const PEER_EXPIRY: Duration = Duration::from_secs(30);

const CALL_TIMEOUT: Duration = Duration::from_millis(900);

const DIAL_INTERVAL: Duration = Duration::from_millis(100);

/// A message between registries.
#[derive(Clone, Debug)]
pub(crate) enum GroupMessage {
    Hello(GroupHello),
    Frame(Vec<u8>),
    Put { token: u64, version: u64 },
    PutDone { token: u64, is_committed: bool },
}

/// What a registry tells others of itself.
#[derive(Clone, Debug)]
pub(crate) struct GroupHello {
    pub(crate) member: MemberId,
    pub(crate) is_empty: bool,
    pub(crate) known: Vec<usize>,
}

/// What the world has to do for a registry.
#[derive(Debug)]
pub(crate) enum NodeEffect {
    Send {
        to: usize,
        epoch: u64,
        message: GroupMessage,
    },
    Write,
    Acknowledged {
        version: u64,
    },
    /// This registry decides that a command may be acknowledged.
    Confirmed {
        version: u64,
        members: MemberSet,
    },
    Read {
        token: u64,
        version: u64,
    },
    Recalled {
        version: u64,
    },
}

/// Who waits for a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallOrigin {
    Operator,
    Forwarded { from: usize, epoch: u64, token: u64 },
}

/// A command that waits for its acknowledgement.
#[derive(Clone, Copy, Debug)]
struct QueuedCall {
    version: u64,
    origin: CallOrigin,
    deadline: ClockTime,
    is_attempted: bool,
}

/// What a registry knows of another one.
#[derive(Debug, Default)]
struct PeerEntry {
    hello: Option<(GroupHello, ClockTime)>,
    /// The other process that the link leads to.
    link: Option<u64>,
    next_dial_at: ClockTime,
}

/// Parameters of a process.
#[derive(Clone, Debug)]
pub(crate) struct ProcessStart {
    pub(crate) index: usize,
    pub(crate) disk: FakeDisk,
    pub(crate) boot: u64,
    pub(crate) fresh_identity: u64,
    pub(crate) is_first_start: bool,
    /// Registries named in the settings.
    pub(crate) seeds: Vec<usize>,
    pub(crate) saved_peers: BTreeSet<usize>,
    pub(crate) tolerance: LossTolerance,
    pub(crate) start: u64,
    pub(crate) seed: u64,
}

/// A running registry.
pub(crate) struct NodeProcess {
    index: usize,
    pub(crate) identity: MemberId,
    pub(crate) core: Option<ConsensusCore>,
    folder: LogFolder,
    stored: Option<StoredState>,
    bootstrap: Option<BootstrapTable>,
    seed: u64,
    plan: VoterPlan,
    writes: VecDeque<(u64, LogChange)>,
    pub(crate) is_writing: bool,
    /// The latest command applied.
    pub(crate) version: u64,
    /// The latest command in the data folder.
    pub(crate) durable_version: u64,
    peers: BTreeMap<usize, PeerEntry>,
    seeds: Vec<usize>,
    recalled_peers: BTreeSet<usize>,
    started_at: ClockTime,
    next_hello_at: ClockTime,
    next_plan_at: ClockTime,
    calls: BTreeMap<u64, QueuedCall>,
    proposed: Option<u64>,
    next_token: u64,
    recalled: Option<u64>,
    pub(crate) effects: Vec<NodeEffect>,
}

pub(crate) fn node_id(index: usize) -> NodeId {
    NodeId::from_name(&format!("10.0.0.{index}:7000"))
}

fn version_of(command: &[u8]) -> u64 {
    u64::from_le_bytes(command.try_into().expect("a command has eight bytes"))
}

fn newest_version(entries: &[StoredEntry]) -> u64 {
    let payloads = entries
        .iter()
        .filter_map(|entry| EntryPayload::decode(&entry.bytes).ok());
    let versions = payloads.map(|payload| match payload {
        EntryPayload::Command(command) => version_of(&command),
        EntryPayload::Noop | EntryPayload::Members(_) => 0,
    });
    versions.max().unwrap_or(0)
}

fn core_settings() -> CoreSettings {
    CoreSettings {
        trust_disk: true,
        election_timeout: Duration::from_millis(700),
        heartbeat_interval: Duration::from_millis(150),
        resend_after: Duration::from_millis(1500),
        max_command_bytes: 900 << 10,
        snapshot_threshold_entries: 500,
        snapshot_threshold_bytes: 2 << 20,
        trailing_entries: 100,
        uses_leader_lease: false,
        recalls_commit: true,
        ..CoreSettings::default()
    }
}

impl NodeProcess {
    pub(crate) fn new(start: ProcessStart, now: ClockTime) -> Result<Self, LogError> {
        let settings = FolderSettings {
            fresh_identity: start.fresh_identity,
            boot_id: start.boot.to_string(),
            min_start: start.start,
            ..FolderSettings::default()
        };
        let (folder, stored) = LogFolder::open_on(DiskPort::Fake(start.disk), &settings)?;
        let identity = MemberId(stored.identity);
        let is_unused = stored.entries.is_empty() && stored.snapshot.is_none();
        let snapshot = stored.snapshot.as_ref();
        let from_snapshot = snapshot.map_or(0, |snapshot| version_of(&snapshot.bytes));
        let durable_version = from_snapshot.max(newest_version(&stored.entries));
        let own = BootstrapHello {
            node: node_id(start.index),
            member: identity,
            is_empty: is_unused,
        };
        let may_bootstrap = start.is_first_start && start.seeds.contains(&start.index) && is_unused;
        let named = start.seeds.iter().copied().map(node_id);
        let known = start.seeds.iter().chain(&start.saved_peers).copied();
        let peers = known.filter(|peer| *peer != start.index);
        let mut process = Self {
            index: start.index,
            identity,
            core: None,
            folder,
            stored: Some(stored),
            bootstrap: may_bootstrap.then(|| BootstrapTable::new(own, named)),
            seed: start.seed,
            plan: VoterPlan {
                settings: VoterSettings {
                    tolerance: start.tolerance,
                    ..VoterSettings::default()
                },
            },
            writes: VecDeque::new(),
            is_writing: false,
            version: 0,
            durable_version,
            peers: peers.map(|peer| (peer, PeerEntry::default())).collect(),
            seeds: start.seeds,
            recalled_peers: start.saved_peers,
            started_at: now,
            next_hello_at: now,
            next_plan_at: now,
            calls: BTreeMap::new(),
            proposed: None,
            next_token: 0,
            recalled: None,
            effects: Vec::new(),
        };
        process.try_start(now);
        Ok(process)
    }

    /// Takes over the registries that changed settings name.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<usize>) {
        for &seed in seeds.iter().filter(|seed| **seed != self.index) {
            self.peers.entry(seed).or_default();
        }
        self.seeds = seeds;
    }

    fn try_start(&mut self, now: ClockTime) {
        let members = match self.bootstrap.as_ref().map(BootstrapTable::decide) {
            Some(BootstrapDecision::Wait { .. }) => return,
            Some(BootstrapDecision::Bootstrap(members)) => Some(members),
            Some(BootstrapDecision::Follow | BootstrapDecision::Join) | None => None,
        };
        let Some(stored) = self.stored.take() else {
            return;
        };
        self.bootstrap = None;
        let start = CoreStart {
            stored,
            initial_members: members,
        };
        let created = ConsensusCore::new(core_settings(), start, now, self.seed);
        let (core, actions) = created.expect("the core starts from the folder");
        self.core = Some(core);
        self.run_actions(actions, now);
    }

    fn token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    /// Passes an input to the core.
    pub(crate) fn input(&mut self, input: CoreInput, now: ClockTime) {
        let Some(core) = &mut self.core else {
            return;
        };
        let actions = core.handle(input, now);
        self.run_actions(actions, now);
        let recalled = self.core.as_ref().and_then(ConsensusCore::recalled_index);
        if self.recalled != recalled {
            self.recalled = recalled;
            let version = self.version;
            self.effects.push(NodeEffect::Recalled { version });
        }
    }

    fn run_actions(&mut self, actions: Vec<CoreAction>, now: ClockTime) {
        for action in actions {
            match action {
                CoreAction::Persist { batch, change } => {
                    self.writes.push_back((batch, change));
                    self.effects.push(NodeEffect::Write);
                }
                CoreAction::Send(frame) => self.send_frame(&frame),
                CoreAction::Apply { command, .. } => self.apply(&command),
                CoreAction::RestoreSnapshot { bytes, .. } => self.apply(&bytes),
                CoreAction::TakeSnapshot { index } => {
                    let bytes = self.version.to_le_bytes().to_vec();
                    self.input(CoreInput::SnapshotTaken { index, bytes }, now);
                }
                CoreAction::ProposeDone { token, result } => self.decide(token, result),
                CoreAction::ReadReady { token, .. } => {
                    let version = self.version;
                    self.effects.push(NodeEffect::Read { token, version });
                }
                CoreAction::MembersChanged { .. } => self.next_plan_at = now,
                CoreAction::ReadRefused { .. } | CoreAction::LeaderChanged { .. } => {}
            }
        }
    }

    fn apply(&mut self, command: &[u8]) {
        self.version = self.version.max(version_of(command));
    }

    /// Makes all queued changes durable.
    pub(crate) fn write(&mut self, now: ClockTime) {
        self.is_writing = false;
        let mut last = None;
        for (batch, change) in std::mem::take(&mut self.writes) {
            let snapshot = change.snapshot.as_ref();
            let from_snapshot = snapshot.map_or(0, |snapshot| version_of(&snapshot.bytes));
            let newest = newest_version(&change.entries).max(from_snapshot);
            self.durable_version = self.durable_version.max(newest);
            self.folder.append(&change).expect("a change is appended");
            last = Some(batch);
        }
        self.folder.sync().expect("the log syncs");
        if let Some(batch) = last {
            self.input(CoreInput::Persisted { batch }, now);
        }
    }

    pub(crate) fn has_writes(&self) -> bool {
        !self.writes.is_empty()
    }

    fn own_hello(&self, now: ClockTime) -> GroupHello {
        let is_empty = match (&self.core, &self.stored) {
            (Some(core), _) => core.last_position().index == 0,
            (None, Some(stored)) => stored.entries.is_empty() && stored.snapshot.is_none(),
            (None, None) => false,
        };
        GroupHello {
            member: self.identity,
            is_empty,
            known: self.known_registries(now).into_iter().collect(),
        }
    }

    /// The registries that this one tells others of and keeps in its data folder.
    pub(crate) fn known_registries(&self, now: ClockTime) -> BTreeSet<usize> {
        let is_recent = now.since(self.started_at) < PEER_EXPIRY;
        let is_heard = |entry: &PeerEntry| {
            let hello = entry.hello.as_ref();
            hello.is_some_and(|(_, heard_at)| now.since(*heard_at) < PEER_EXPIRY)
        };
        let is_recalled = |peer: &usize| is_recent && self.recalled_peers.contains(peer);
        let is_seed = |peer: &usize| self.seeds.contains(peer);
        let known = self
            .peers
            .iter()
            .filter(|(peer, entry)| is_seed(peer) || is_heard(entry) || is_recalled(peer));
        known.map(|(peer, _)| *peer).chain([self.index]).collect()
    }

    fn send(&mut self, to: usize, message: GroupMessage) -> bool {
        let link = self.peers.get(&to).and_then(|peer| peer.link);
        if let Some(epoch) = link {
            self.effects.push(NodeEffect::Send { to, epoch, message });
        }
        link.is_some()
    }

    fn holder_of(&self, member: MemberId) -> Option<usize> {
        let is_it = |entry: &PeerEntry| {
            let hello = entry.hello.as_ref();
            hello.is_some_and(|(hello, _)| hello.member == member)
        };
        let mut peers = self.peers.iter();
        peers.find(|(_, entry)| is_it(entry)).map(|(&peer, _)| peer)
    }

    fn send_frame(&mut self, frame: &PeerFrame) {
        if let Some(to) = self.holder_of(frame.to) {
            let bytes = frame.encode().expect("a frame encodes");
            self.send(to, GroupMessage::Frame(bytes));
        }
    }

    /// Opens links to the processes in `reachable`, by registry, and closes those to others.
    pub(crate) fn update_links(&mut self, reachable: &BTreeMap<usize, u64>, now: ClockTime) {
        let mut opened = Vec::new();
        for (&peer, entry) in &mut self.peers {
            let epoch = reachable.get(&peer).copied();
            if entry.link != epoch {
                entry.link = None;
            }
            if entry.link.is_none() && now >= entry.next_dial_at {
                entry.next_dial_at = now.after(DIAL_INTERVAL);
                entry.link = epoch;
                opened.extend(epoch.map(|_| peer));
            }
        }
        for peer in opened {
            let hello = self.own_hello(now);
            self.send(peer, GroupMessage::Hello(hello));
            let entry = self.peers.get(&peer).and_then(|entry| entry.hello.as_ref());
            if let Some(member) = entry.map(|(hello, _)| hello.member) {
                self.input(CoreInput::PeerConnected { member }, now);
            }
        }
    }

    pub(crate) fn receive(
        &mut self,
        from: usize,
        epoch: u64,
        message: GroupMessage,
        now: ClockTime,
    ) {
        match message {
            GroupMessage::Hello(hello) => self.handle_hello(from, hello, now),
            GroupMessage::Frame(bytes) => {
                let frame = PeerFrame::decode(&bytes).expect("a frame decodes");
                self.input(CoreInput::Frame(frame), now);
            }
            GroupMessage::Put { token, version } => {
                self.call(version, CallOrigin::Forwarded { from, epoch, token }, now);
            }
            GroupMessage::PutDone {
                token,
                is_committed,
            } => self.finish(token, is_committed),
        }
    }

    fn handle_hello(&mut self, from: usize, hello: GroupHello, now: ClockTime) {
        for &peer in hello.known.iter().filter(|peer| **peer != self.index) {
            self.peers.entry(peer).or_default();
        }
        if let Some(bootstrap) = &mut self.bootstrap {
            bootstrap.record_hello(BootstrapHello {
                node: node_id(from),
                member: hello.member,
                is_empty: hello.is_empty,
            });
        }
        self.try_start(now);
        let member = hello.member;
        let entry = self.peers.entry(from).or_default();
        let is_first = entry.hello.replace((hello, now)).is_none();
        if is_first {
            self.input(CoreInput::PeerConnected { member }, now);
        }
    }

    /// Does what is due after each event.
    pub(crate) fn settle(&mut self, now: ClockTime) {
        self.retry_calls(now);
        if now >= self.next_hello_at {
            let is_formed = self
                .core
                .as_ref()
                .is_some_and(|core| core.commit_index() > 0);
            self.next_hello_at = now.after(match is_formed {
                true => HELLO_INTERVAL,
                false => FORMING_HELLO_INTERVAL,
            });
            let hello = self.own_hello(now);
            for peer in self.peers.keys().copied().collect::<Vec<_>>() {
                self.send(peer, GroupMessage::Hello(hello.clone()));
            }
        }
        self.plan_voters(now);
    }

    fn plan_voters(&mut self, now: ClockTime) {
        let Some(core) = &self.core else {
            return;
        };
        if now < self.next_plan_at || !core.accepts_member_changes() {
            return;
        }
        self.next_plan_at = now.after(VOTER_PLAN_INTERVAL);
        let statuses = self.member_statuses(core, now);
        if let Some(change) = self.plan.next_step(core.members(), core.id(), &statuses) {
            let token = self.token();
            self.input(CoreInput::ChangeMember { token, change }, now);
        }
    }

    fn member_statuses(&self, core: &ConsensusCore, now: ClockTime) -> Vec<MemberStatus> {
        let peers = self.peers.iter();
        let heard = peers.filter_map(|(peer, entry)| Some((*peer, entry.hello.as_ref()?)));
        let mut statuses: Vec<_> = heard
            .map(|(peer, (hello, heard_at))| MemberStatus {
                member: hello.member,
                node: node_id(peer),
                silent_for: now.since(*heard_at),
                is_caught_up: core.has_caught_up(hello.member, now),
            })
            .collect();
        let heard: BTreeSet<NodeId> = statuses.iter().map(|status| status.node).collect();
        let records = core.members().records().iter();
        let unheard = records.filter(|record| !heard.contains(&record.node));
        statuses.extend(unheard.map(|record| MemberStatus {
            member: record.member,
            node: record.node,
            silent_for: now.since(self.started_at),
            is_caught_up: false,
        }));
        statuses
    }

    fn bears_losses(&self) -> bool {
        self.core.as_ref().is_some_and(|core| {
            let is_committed = core.commit_index() >= core.members_index();
            is_committed && self.plan.settings.tolerance.is_met_by(core.members())
        })
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.core.as_ref().is_some_and(ConsensusCore::is_leader)
    }

    /// Takes a command of an operator.
    pub(crate) fn put(&mut self, version: u64, now: ClockTime) {
        self.call(version, CallOrigin::Operator, now);
    }

    fn call(&mut self, version: u64, origin: CallOrigin, now: ClockTime) {
        let token = self.token();
        let call = QueuedCall {
            version,
            origin,
            deadline: now.after(CALL_TIMEOUT),
            is_attempted: false,
        };
        self.calls.insert(token, call);
        self.retry_calls(now);
    }

    /// Ends a call; one of an operator is tried again if it was not taken.
    fn finish(&mut self, token: u64, is_committed: bool) {
        let Some(mut call) = self.calls.remove(&token) else {
            return;
        };
        let version = call.version;
        match call.origin {
            CallOrigin::Operator if is_committed => {
                self.effects.push(NodeEffect::Acknowledged { version });
            }
            CallOrigin::Operator => {
                call.is_attempted = false;
                self.calls.insert(token, call);
            }
            CallOrigin::Forwarded { from, epoch, token } => {
                self.effects.push(NodeEffect::Send {
                    to: from,
                    epoch,
                    message: GroupMessage::PutDone {
                        token,
                        is_committed,
                    },
                });
            }
        }
    }

    fn decide(&mut self, token: u64, result: ProposeResult) {
        if self.proposed != Some(token) {
            return;
        }
        self.proposed = None;
        let is_committed = matches!(result, ProposeResult::Committed { .. });
        if !is_committed || self.bears_losses() {
            let version = self.calls.get(&token).map(|call| call.version);
            if let Some(version) = version.filter(|_| is_committed) {
                self.confirm(version);
            }
            self.finish(token, is_committed);
        }
    }

    fn confirm(&mut self, version: u64) {
        if let Some(core) = &self.core {
            let members = core.members().clone();
            self.effects
                .push(NodeEffect::Confirmed { version, members });
        }
    }

    fn retry_calls(&mut self, now: ClockTime) {
        let leads = self.is_leader();
        if !leads {
            self.proposed = None;
        }
        let bears_losses = self.bears_losses();
        for (token, call) in self.calls.clone() {
            if call.version <= self.version && bears_losses {
                self.confirm(call.version);
                self.finish(token, true);
            } else if now >= call.deadline {
                self.calls.remove(&token);
            } else if !call.is_attempted && !leads {
                self.forward(token, call);
            }
        }
        if leads && bears_losses && self.proposed.is_none() {
            self.propose(now);
        }
    }

    fn forward(&mut self, token: u64, call: QueuedCall) {
        if call.origin != CallOrigin::Operator {
            return self.finish(token, false);
        }
        let leader = self.core.as_ref().and_then(ConsensusCore::leader);
        let Some(to) = leader.and_then(|leader| self.holder_of(leader)) else {
            return;
        };
        let version = call.version;
        let is_attempted = self.send(to, GroupMessage::Put { token, version });
        if let Some(call) = self.calls.get_mut(&token) {
            call.is_attempted = is_attempted;
        }
    }

    fn propose(&mut self, now: ClockTime) {
        let calls = self.calls.iter();
        let Some((&token, call)) = calls.max_by_key(|(_, call)| call.version) else {
            return;
        };
        let command = call.version.to_le_bytes().to_vec();
        self.proposed = Some(token);
        self.input(CoreInput::Propose { token, command }, now);
    }
}
