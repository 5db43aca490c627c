use std::{
    io,
    net::SocketAddr, //
};

use ragwortroad_consensus::prelude::*;
use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_log::prelude::*;
use ragwortroad_telemetry::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    ConfigRegister,
    RegisterChange,
    RegisterCommand,
    RegisterSnapshot,
    delta_history::DeltaHistory,
    folder_report::FolderReport,
    folder_worker::{
        FolderOrder,
        FolderWorker, //
    }, //
};

/// What a seat wants done beside its disk's work.
#[derive(Debug)]
pub(crate) enum SeatEffect {
    /// Send a frame.
    Send(PeerFrame),
    /// A proposal was decided.
    Decided { token: u64, result: ProposeResult },
    /// The state is current once applied up to the index.
    Readable { token: u64, index: u64 },
    /// No proof can be had here.
    Unreadable { token: u64 },
    /// Another configuration is in force.
    ConfigChanged,
    /// A drain order was applied.
    DrainApplied {
        order: DrainOrder,
        outcome: DrainOutcome,
    },
    /// The drains of a snapshot have replaced those held.
    DrainsRestored,
}

/// A registry's part in the group: core, state and disk.
pub(crate) struct GroupSeat {
    /// The VM, as other registries name it.
    node: NodeId,
    settings: CoreSettings,
    disk: FolderWorker,
    /// Number of the folder's present opening.
    opening: u64,
    /// Identity of the folder, once it is open.
    identity: Option<MemberId>,
    /// What the folder held, until the core is made of it.
    stored: Option<StoredState>,
    /// Decides about founding; nothing on a registry that only joins.
    founding: Option<BootstrapTable>,
    /// Nodes that found the group; empty where this registry only joins.
    founders: Vec<NodeId>,
    core: Option<ConsensusCore>,
    register: ConfigRegister,
    drains: DomainDrains,
    history: DeltaHistory,
    start: u64,
    seed: u64,
}

/// What a seat is made from.
pub(crate) struct SeatStart {
    /// The VM.
    pub(crate) node: NodeId,
    /// Nodes that found the group together, if this one is among them and nothing exists yet.
    pub(crate) founders: Vec<NodeId>,
    /// Figures of the agreement.
    pub(crate) settings: CoreSettings,
    /// The folder's thread.
    pub(crate) disk: FolderWorker,
    /// Milliseconds of the wall clock.
    pub(crate) start: u64,
    /// A random number.
    pub(crate) seed: u64,
}

impl GroupSeat {
    pub(crate) fn new(start: SeatStart) -> Self {
        Self {
            node: start.node,
            settings: start.settings,
            disk: start.disk,
            opening: 0,
            identity: None,
            stored: None,
            founding: None,
            founders: start.founders,
            core: None,
            register: ConfigRegister::default(),
            drains: DomainDrains::default(),
            history: DeltaHistory::default(),
            start: start.start,
            seed: start.seed,
        }
    }

    /// The configuration as applied so far.
    pub(crate) fn register(&self) -> &ConfigRegister {
        &self.register
    }

    /// Failure domains that are drained, as applied so far.
    pub(crate) fn drains(&self) -> &DomainDrains {
        &self.drains
    }

    /// The step that leads from nothing to the configuration in force.
    pub(crate) fn whole_step(&mut self) -> io::Result<Option<ConfigDelta>> {
        self.register.whole_step()
    }

    /// The last steps of the configuration.
    pub(crate) fn history(&self) -> &DeltaHistory {
        &self.history
    }

    /// The core, once it runs.
    pub(crate) fn core(&self) -> Option<&ConsensusCore> {
        self.core.as_ref()
    }

    /// Index up to which the state is applied.
    pub(crate) fn applied(&self) -> u64 {
        self.core.as_ref().map_or(0, ConsensusCore::commit_index)
    }

    /// What this registry says of itself.
    pub(crate) fn hello(&self, address: SocketAddr, known: Vec<SocketAddr>) -> MemberHello {
        let is_empty = match (&self.core, &self.stored) {
            (Some(core), _) => core.last_position().index == 0,
            (None, Some(stored)) => is_unused(stored),
            // A folder that cannot be read may be in use; "empty" could found a second group.
            (None, None) => false,
        };
        MemberHello {
            address,
            member: self.identity.map(|identity| identity.0),
            is_empty,
            known,
        }
    }

    /// Takes what another registry says of itself.
    pub(crate) fn take_hello(&mut self, hello: &MemberHello, now: ClockTime) -> Vec<SeatEffect> {
        let Some(member) = hello.member else {
            return Vec::new();
        };
        if let Some(founding) = &mut self.founding {
            founding.record_hello(BootstrapHello {
                node: NodeId::from_name(&hello.address.to_string()),
                member: MemberId(member),
                is_empty: hello.is_empty,
            });
        }
        self.try_start(now)
    }

    /// Takes a report of the disk.
    pub(crate) fn take_report(&mut self, report: FolderReport, now: ClockTime) -> Vec<SeatEffect> {
        match report {
            FolderReport::Opened { opening, stored } => {
                tracing::info!(
                    identity = stored.identity,
                    entries = stored.entries.len(),
                    has_snapshot = stored.snapshot.is_some(),
                    "data folder open"
                );
                self.opening = opening;
                self.open(*stored, now)
            }
            FolderReport::Durable { opening, batch } if opening == self.opening => {
                self.handle(CoreInput::Persisted { batch }, now)
            }
            FolderReport::Failed { opening, reason } if opening == self.opening => {
                tracing::error!(reason, "the disk failed; the folder is opened anew");
                let effects = self.handle(CoreInput::PersistFailed, now);
                self.core = None;
                effects
            }
            FolderReport::Durable { .. } | FolderReport::Failed { .. } => Vec::new(),
        }
    }

    fn open(&mut self, stored: StoredState, now: ClockTime) -> Vec<SeatEffect> {
        let identity = MemberId(stored.identity);
        self.identity = Some(identity);
        let is_founder = self.founders.contains(&self.node);
        let own = BootstrapHello {
            node: self.node,
            member: identity,
            is_empty: is_unused(&stored),
        };
        let founds = is_founder && is_unused(&stored);
        self.founding = founds.then(|| BootstrapTable::new(own, self.founders.iter().copied()));
        self.stored = Some(stored);
        self.try_start(now)
    }

    /// Makes the core, once it is clear whether a group is founded here.
    fn try_start(&mut self, now: ClockTime) -> Vec<SeatEffect> {
        if self.core.is_some() || self.stored.is_none() {
            return Vec::new();
        }
        let step = self.founding.as_ref().map(BootstrapTable::decide);
        let founders = match step {
            Some(BootstrapDecision::Wait { .. }) => return Vec::new(),
            Some(BootstrapDecision::Bootstrap(members)) => Some(members),
            Some(BootstrapDecision::Follow | BootstrapDecision::Join) | None => None,
        };
        let Some(stored) = self.stored.take() else {
            return Vec::new();
        };
        self.founding = None;
        self.seed = self.seed.wrapping_add(1);
        // Acknowledgements of the folder before it failed must not count for this one.
        self.start += 1;
        let start = CoreStart {
            stored,
            start: self.start,
            initial_members: founders,
        };
        match ConsensusCore::new(self.settings.clone(), start, now, self.seed) {
            Ok((core, actions)) => {
                self.core = Some(core);
                self.carry_out(actions, now)
            }
            Err(error) => {
                tracing::error!(%error, "this registry cannot take part in the group");
                Vec::new()
            }
        }
    }

    /// Hands an input to the core and does what concerns state and disk.
    pub(crate) fn handle(&mut self, input: CoreInput, now: ClockTime) -> Vec<SeatEffect> {
        let Some(core) = &mut self.core else {
            return Vec::new();
        };
        let actions = core.handle(input, now);
        self.carry_out(actions, now)
    }

    fn carry_out(&mut self, actions: Vec<CoreAction>, now: ClockTime) -> Vec<SeatEffect> {
        let mut effects = Vec::new();
        for action in actions {
            match action {
                CoreAction::Persist { batch, change } => self.disk.order(FolderOrder {
                    opening: self.opening,
                    batch,
                    change,
                }),
                CoreAction::Send(frame) => effects.push(SeatEffect::Send(frame)),
                CoreAction::Apply { command, .. } => effects.extend(self.apply(&command)),
                CoreAction::RestoreSnapshot { bytes, .. } => effects.extend(self.restore(&bytes)),
                CoreAction::TakeSnapshot { index } => effects.extend(self.snapshot(index, now)),
                CoreAction::ProposeDone { token, result } => {
                    effects.push(SeatEffect::Decided { token, result });
                }
                CoreAction::ReadReady { token, index } => {
                    effects.push(SeatEffect::Readable { token, index });
                }
                CoreAction::ReadRefused { token, .. } => {
                    effects.push(SeatEffect::Unreadable { token });
                }
                CoreAction::LeaderChanged { term, leader } => {
                    let leader = leader.map(|member| member.0);
                    metrics::counter!(metric_names::LEADER_CHANGES).increment(1);
                    tracing::info!(term, leader, "another leader");
                }
                CoreAction::MembersChanged { index, members } => {
                    let voters = members.voters().count();
                    let all = members.records().len();
                    metrics::gauge!(metric_names::VOTERS).set(voters as f64);
                    tracing::info!(index, voters, all, "other members");
                }
            }
        }
        effects
    }

    fn apply(&mut self, command: &[u8]) -> Option<SeatEffect> {
        let command = match postcard::from_bytes::<RegisterCommand>(command) {
            Ok(command) => command,
            Err(error) => {
                // All members skip it alike, so the state stays the same everywhere.
                tracing::error!(%error, "a command of the log means nothing and is skipped");
                return None;
            }
        };
        match command {
            RegisterCommand::Put(step) => self.apply_step(step),
            RegisterCommand::Drain(order) => {
                let outcome = self.drains.apply(&order);
                Some(SeatEffect::DrainApplied { order, outcome })
            }
        }
    }

    fn apply_step(&mut self, step: ConfigDelta) -> Option<SeatEffect> {
        match self.register.apply(&step) {
            RegisterChange::Changed => {
                self.history.push(step);
                Some(SeatEffect::ConfigChanged)
            }
            RegisterChange::Covered | RegisterChange::OtherBase => None,
            RegisterChange::Unreadable { reason } => {
                tracing::error!(reason, "a configuration of the log is skipped");
                None
            }
        }
    }

    /// Takes the state of a snapshot: the log continues from it, so it is never older than what
    /// was applied here, except after a failed disk was opened anew.
    fn restore(&mut self, bytes: &[u8]) -> Vec<SeatEffect> {
        let snapshot = match RegisterSnapshot::decode(bytes) {
            Ok(snapshot) => snapshot,
            Err(error) => {
                tracing::error!(%error, "the snapshot means nothing; run one version on all VMs");
                return Vec::new();
            }
        };
        let mut effects = Vec::new();
        if snapshot.drains.revision() > self.drains.revision() {
            self.drains = snapshot.drains;
            effects.push(SeatEffect::DrainsRestored);
        }
        effects.extend(snapshot.config.and_then(|step| self.restore_step(&step)));
        effects
    }

    fn restore_step(&mut self, step: &ConfigDelta) -> Option<SeatEffect> {
        match self.register.apply(step) {
            RegisterChange::Changed => {
                self.history.clear();
                Some(SeatEffect::ConfigChanged)
            }
            RegisterChange::Covered => None,
            other => {
                tracing::error!(?other, "the snapshot's configuration cannot be used");
                None
            }
        }
    }

    fn snapshot(&mut self, index: u64, now: ClockTime) -> Vec<SeatEffect> {
        let whole = self
            .register
            .whole_step()
            .map_err(|error| error.to_string());
        let encoded = whole.and_then(|config| {
            let drains = self.drains.clone();
            let snapshot = RegisterSnapshot { config, drains };
            snapshot.encode().map_err(|error| error.to_string())
        });
        match encoded {
            Ok(bytes) => self.handle(CoreInput::SnapshotTaken { index, bytes }, now),
            Err(reason) => {
                tracing::error!(
                    reason,
                    "the state could not be encoded; the log goes on growing"
                );
                Vec::new()
            }
        }
    }

    /// Joins the disk's thread.
    pub(crate) fn join(self) {
        self.disk.join();
    }
}

/// Whether a folder has never been part of a group.
fn is_unused(stored: &StoredState) -> bool {
    stored.entries.is_empty() && stored.snapshot.is_none()
}
