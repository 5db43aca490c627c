use std::collections::VecDeque;

use ragwortroad_consensus::prelude::*;
use ragwortroad_log::prelude::*;
use ragwortroad_types::prelude::*;

/// A group in which the test delivers or drops every message; disk writes complete at once unless
/// the test holds them.
pub(crate) struct ScriptedGroup {
    pub(crate) settings: CoreSettings,
    pub(crate) members: Vec<ScriptedMember>,
    pub(crate) now: ClockTime,
    in_flight: VecDeque<PeerFrame>,
    /// Time of day, which advances with every start.
    pub(crate) wall_clock: u64,
    initial_members: MemberSet,
}

/// A member of the group with its disk.
#[derive(Default)]
pub(crate) struct ScriptedMember {
    pub(crate) disk: FakeDisk,
    pub(crate) core: Option<ConsensusCore>,
    folder: Option<LogFolder>,
    pub(crate) boot: u64,
    pub(crate) applied: Vec<Vec<u8>>,
    pub(crate) results: Vec<ProposeResult>,
    /// Whether the member is not told that its writes are durable.
    pub(crate) holds_writes: bool,
    held_batch: Option<u64>,
    /// Whether writes are neither made nor confirmed: they are lost when the process stops.
    pub(crate) loses_writes: bool,
}

impl ScriptedGroup {
    /// Creates a group of `count` voters, of which all have elected the first.
    pub(crate) fn new(count: usize, settings: CoreSettings) -> Self {
        let group = Self::new_unchecked(count, settings);
        assert!(group.core(0).may_act_as_leader(group.now));
        group
    }

    pub(crate) fn new_unchecked(count: usize, settings: CoreSettings) -> Self {
        let voters = (0..count).map(|at| (member_id(at), NodeId(at as u64)));
        let mut group = Self {
            settings,
            members: (0..count).map(|_| ScriptedMember::default()).collect(),
            now: ClockTime(1000),
            in_flight: VecDeque::new(),
            wall_clock: 0,
            initial_members: MemberSet::from_voters(voters),
        };
        for at in 0..count {
            group.start(at);
        }
        group.deliver(|_, _, _| true);
        group.wait_for_leader(0, 2);
        group
    }

    pub(crate) fn core(&self, at: usize) -> &ConsensusCore {
        self.members[at].core.as_ref().expect("the member runs")
    }

    pub(crate) fn start(&mut self, at: usize) {
        self.wall_clock += 1;
        let member = &mut self.members[at];
        let settings = FolderSettings {
            fresh_identity: member_id(at).0,
            boot_id: member.boot.to_string(),
            min_start: self.wall_clock,
            ..FolderSettings::default()
        };
        let port = DiskPort::Fake(member.disk.clone());
        let (folder, stored) = LogFolder::open_on(port, &settings).expect("the folder opens");
        let initial_members =
            Some(self.initial_members.clone()).filter(|_| at == 0 && stored.is_new);
        let start = CoreStart {
            stored,
            initial_members,
        };
        let created = ConsensusCore::new(self.settings.clone(), start, self.now, at as u64);
        let (core, actions) = created.expect("the core starts");
        member.core = Some(core);
        member.folder = Some(folder);
        member.applied.clear();
        self.act(at, actions);
    }

    /// Stops the process; with `new_boot` the machine restarts, too.
    pub(crate) fn stop(&mut self, at: usize, new_boot: bool) {
        let member = &mut self.members[at];
        member.core = None;
        member.folder = None;
        member.boot += u64::from(new_boot);
    }

    pub(crate) fn input(&mut self, at: usize, input: CoreInput) {
        let now = self.now;
        if let Some(core) = &mut self.members[at].core {
            let actions = core.handle(input, now);
            self.act(at, actions);
        }
    }

    fn act(&mut self, at: usize, actions: Vec<CoreAction>) {
        let member = &mut self.members[at];
        let mut written = None;
        for action in actions {
            match action {
                CoreAction::Persist { .. } if member.loses_writes => {}
                CoreAction::Persist { batch, change } => {
                    let folder = member.folder.as_mut().expect("the folder is open");
                    folder.append(&change).expect("the disk works");
                    folder.sync().expect("the disk works");
                    written = Some(batch);
                }
                CoreAction::Send(frame) => self.in_flight.push_back(frame),
                CoreAction::Apply { command, .. } => member.applied.push(command),
                CoreAction::ProposeDone { result, .. } => member.results.push(result),
                _ => {}
            }
        }
        let Some(batch) = written else {
            return;
        };
        if self.members[at].holds_writes {
            self.members[at].held_batch = Some(batch);
        } else {
            self.input(at, CoreInput::Persisted { batch });
        }
    }

    /// Tells a member that its writes are durable, also those that were held.
    pub(crate) fn finish_writes(&mut self, at: usize) {
        let member = &mut self.members[at];
        member.holds_writes = false;
        if let Some(batch) = member.held_batch.take() {
            self.input(at, CoreInput::Persisted { batch });
        }
    }

    /// Delivers messages until none are left, dropping those that `passes` rejects.
    pub(crate) fn deliver(&mut self, passes: impl Fn(&PeerFrame, usize, usize) -> bool) {
        while let Some(frame) = self.in_flight.pop_front() {
            let from = (frame.from.0 - member_id(0).0) as usize;
            let to = (frame.to.0 - member_id(0).0) as usize;
            if passes(&frame, from, to) {
                self.input(to, CoreInput::Frame(frame));
            }
        }
    }

    /// Removes the messages from one member to another, so that the test can deliver them later.
    pub(crate) fn intercept(&mut self, from: usize, to: usize) -> Vec<PeerFrame> {
        let (from, to) = (member_id(from), member_id(to));
        let (intercepted, rest) = self
            .in_flight
            .drain(..)
            .partition(|frame| frame.from == from && frame.to == to);
        self.in_flight = rest;
        intercepted.into()
    }

    pub(crate) fn propose(&mut self, at: usize, command: &[u8]) {
        let command = command.to_vec();
        self.input(at, CoreInput::Propose { token: 1, command });
    }

    /// Runs up to `rounds` elections of `at` with all messages delivered, until it leads.
    pub(crate) fn wait_for_leader(&mut self, at: usize, rounds: u32) {
        for _ in 0..rounds {
            if self.core(at).is_leader() {
                break;
            }
            self.now = self.now.after(self.settings.election_timeout * 2);
            self.input(at, CoreInput::Tick);
            self.deliver(|_, _, _| true);
        }
    }

    /// Lets `at` campaign, and delivers only messages without entries between the members in
    /// `among`.
    pub(crate) fn run_election(&mut self, at: usize, among: &[usize]) {
        for _ in 0..3 {
            self.now = self.now.after(self.settings.election_timeout * 2);
            self.input(at, CoreInput::Tick);
            self.deliver(|frame, from, to| {
                let is_entry = matches!(frame.message, PeerMessage::Append { .. });
                !is_entry && among.contains(&from) && among.contains(&to)
            });
            if self.core(at).is_leader() {
                break;
            }
        }
    }
}

pub(crate) fn member_id(at: usize) -> MemberId {
    MemberId(100 + at as u64)
}
