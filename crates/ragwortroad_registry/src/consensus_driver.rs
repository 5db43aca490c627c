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
        FolderWorker,
        PersistRequest, //
    }, //
};

/// An effect that the registry must carry out. The driver handles persistence itself.
#[derive(Debug)]
pub(crate) enum DriverEffect {
    /// Send a consensus frame to another member.
    Send(PeerFrame),
    /// A proposal was decided.
    Decided { token: u64, result: ProposeResult },
    /// The read is linearizable once the state is applied up to `index`.
    ReadAt { token: u64, index: u64 },
    /// This registry cannot confirm the read, for example because it does not lead.
    ReadFailed { token: u64 },
    /// A membership change was committed.
    MembersChanged,
    /// Another configuration came into force.
    ConfigChanged,
    /// A drain order was applied to the replicated state.
    DrainApplied {
        order: DrainOrder,
        outcome: DrainOutcome,
    },
    /// Drains restored from a snapshot replaced the current ones.
    DrainsRestored,
}

/// Drives the consensus core of this registry: feeds it inputs, persists its log, and applies
/// committed commands to the replicated state.
pub(crate) struct ConsensusDriver {
    /// Node identity of this VM, as other registries know it.
    node: NodeId,
    settings: CoreSettings,
    disk: FolderWorker,
    /// Generation of the open data folder. Reports of earlier generations are ignored.
    generation: u64,
    /// Member identity stored in the data folder; absent until the folder is open.
    identity: Option<MemberId>,
    /// Contents of the data folder, held until the core is created.
    stored: Option<StoredState>,
    /// Decides whether this registry bootstraps the group; absent on a registry that only joins.
    bootstrap: Option<BootstrapTable>,
    /// Nodes that bootstrap the group; empty on a registry that only joins.
    initial_members: Vec<NodeId>,
    core: Option<ConsensusCore>,
    /// Index up to which the snapshot had the log applied when the core was created.
    restored: u64,
    register: ConfigRegister,
    drains: DomainDrains,
    history: DeltaHistory,
    /// The frame of an earlier start that was ignored last.
    stale_frame: Option<StaleFrame>,
    seed: u64,
}

/// Parameters for creating a [`ConsensusDriver`].
pub(crate) struct DriverOptions {
    /// Node identity of this VM.
    pub(crate) node: NodeId,
    /// Nodes that bootstrap the group together; empty unless this is the fleet's first start.
    pub(crate) initial_members: Vec<NodeId>,
    /// Timeouts and limits of the consensus core.
    pub(crate) settings: CoreSettings,
    /// Worker thread that owns the data folder.
    pub(crate) disk: FolderWorker,
    /// Random seed of the consensus core.
    pub(crate) seed: u64,
}

impl ConsensusDriver {
    pub(crate) fn new(options: DriverOptions) -> Self {
        Self {
            node: options.node,
            settings: options.settings,
            disk: options.disk,
            generation: 0,
            identity: None,
            stored: None,
            bootstrap: None,
            initial_members: options.initial_members,
            core: None,
            restored: 0,
            register: ConfigRegister::default(),
            drains: DomainDrains::default(),
            history: DeltaHistory::default(),
            stale_frame: None,
            seed: options.seed,
        }
    }

    /// The configuration register, as applied so far.
    pub(crate) fn register(&self) -> &ConfigRegister {
        &self.register
    }

    /// Drained failure domains, as applied so far.
    pub(crate) fn drains(&self) -> &DomainDrains {
        &self.drains
    }

    /// The full configuration in force; see [`ConfigRegister::full_delta`].
    pub(crate) fn full_delta(&mut self) -> io::Result<Option<ConfigDelta>> {
        self.register.full_delta()
    }

    /// The most recent deltas of the configuration.
    pub(crate) fn history(&self) -> &DeltaHistory {
        &self.history
    }

    /// The consensus core; absent until the data folder is open and it is decided whether to
    /// bootstrap a group, and again after a disk failure until the folder is reopened.
    pub(crate) fn core(&self) -> Option<&ConsensusCore> {
        self.core.as_ref()
    }

    /// Whether the group is formed: a leader is known here, or the state was recalled without one.
    pub(crate) fn has_state(&self) -> bool {
        let core = self.core.as_ref();
        core.is_some_and(|core| core.leader().is_some() || core.recalled_index().is_some())
    }

    /// Whether the state is more recent than the snapshot that this registry started with: it was
    /// recalled, or a leader has committed entries since.
    pub(crate) fn is_current(&self) -> bool {
        self.has_state() && self.applied() > self.restored
            || self
                .core
                .as_ref()
                .is_some_and(|core| core.recalled_index().is_some())
    }

    /// Index up to which the log is applied to the state.
    pub(crate) fn applied(&self) -> u64 {
        self.core.as_ref().map_or(0, ConsensusCore::commit_index)
    }

    /// Describes this registry to other registries.
    pub(crate) fn hello(&self, address: SocketAddr, known: Vec<SocketAddr>) -> MemberHello {
        let is_empty = match (&self.core, &self.stored) {
            (Some(core), _) => core.last_position().index == 0,
            (None, Some(stored)) => is_unused(stored),
            // An unreadable folder may belong to a member of a group. Reporting it as empty could
            // bootstrap a second group.
            (None, None) => false,
        };
        MemberHello {
            address,
            member: self.identity.map(|identity| identity.0),
            is_empty,
            known,
        }
    }

    /// Handles the hello of another registry.
    pub(crate) fn handle_hello(
        &mut self,
        hello: &MemberHello,
        now: ClockTime,
    ) -> Vec<DriverEffect> {
        let Some(member) = hello.member else {
            return Vec::new();
        };
        if let Some(bootstrap) = &mut self.bootstrap {
            bootstrap.record_hello(BootstrapHello {
                node: NodeId::from_name(&hello.address.to_string()),
                member: MemberId(member),
                is_empty: hello.is_empty,
            });
        }
        self.try_start(now)
    }

    /// Handles a report of the folder worker.
    pub(crate) fn handle_disk_report(
        &mut self,
        report: FolderReport,
        now: ClockTime,
    ) -> Vec<DriverEffect> {
        match report {
            FolderReport::Opened { generation, stored } => {
                tracing::info!(
                    identity = stored.identity,
                    start = stored.start,
                    entries = stored.entries.len(),
                    has_snapshot = stored.snapshot.is_some(),
                    "data folder opened"
                );
                self.generation = generation;
                self.load_stored(*stored, now)
            }
            FolderReport::Durable { generation, batch } if generation == self.generation => {
                self.handle(CoreInput::Persisted { batch }, now)
            }
            FolderReport::Failed { generation, reason } if generation == self.generation => {
                tracing::error!(reason, "disk write failed; reopening the data folder");
                let effects = self.handle(CoreInput::PersistFailed, now);
                self.core = None;
                effects
            }
            FolderReport::Durable { .. } | FolderReport::Failed { .. } => Vec::new(),
        }
    }

    fn load_stored(&mut self, stored: StoredState, now: ClockTime) -> Vec<DriverEffect> {
        let identity = MemberId(stored.identity);
        self.identity = Some(identity);
        let is_initial_member = self.initial_members.contains(&self.node);
        let own = BootstrapHello {
            node: self.node,
            member: identity,
            is_empty: is_unused(&stored),
        };
        let may_bootstrap = is_initial_member && is_unused(&stored);
        self.bootstrap =
            may_bootstrap.then(|| BootstrapTable::new(own, self.initial_members.iter().copied()));
        self.stored = Some(stored);
        self.try_start(now)
    }

    /// Creates the core once it is decided whether this registry bootstraps a group.
    fn try_start(&mut self, now: ClockTime) -> Vec<DriverEffect> {
        if self.core.is_some() || self.stored.is_none() {
            return Vec::new();
        }
        let step = self.bootstrap.as_ref().map(BootstrapTable::decide);
        let members = match step {
            Some(BootstrapDecision::Wait { .. }) => return Vec::new(),
            Some(BootstrapDecision::Bootstrap(members)) => Some(members),
            Some(BootstrapDecision::Follow | BootstrapDecision::Join) | None => None,
        };
        let Some(stored) = self.stored.take() else {
            return Vec::new();
        };
        self.bootstrap = None;
        self.seed = self.seed.wrapping_add(1);
        let start = CoreStart {
            stored,
            initial_members: members,
        };
        match ConsensusCore::new(self.settings.clone(), start, now, self.seed) {
            Ok((core, actions)) => {
                self.restored = core.latest_snapshot().map_or(0, |snapshot| snapshot.index);
                self.core = Some(core);
                self.execute_actions(actions, now)
            }
            Err(error) => {
                tracing::error!(%error, "cannot start the consensus core; not joining the group");
                Vec::new()
            }
        }
    }

    /// Passes an input to the core and executes the actions that concern state and disk.
    pub(crate) fn handle(&mut self, input: CoreInput, now: ClockTime) -> Vec<DriverEffect> {
        let Some(core) = &mut self.core else {
            return Vec::new();
        };
        let recalled = core.recalled_index();
        let start = core.start();
        let actions = core.handle(input, now);
        if let Some(stale) = core.take_stale_frame() {
            metrics::counter!(metric_names::STALE_STARTS).increment(1);
            if self.stale_frame.replace(stale) != Some(stale) {
                tracing::warn!(
                    member = stale.member.0,
                    start = stale.start,
                    known_start = stale.known_start,
                    "ignored a member whose start number is lower than one known of it"
                );
            }
        }
        if core.start() != start {
            let raised = core.start();
            tracing::warn!(
                start,
                raised,
                "raised the start number above one that others know"
            );
        }
        if core.recalled_index() != recalled {
            let index = core.recalled_index();
            tracing::info!(index, "recalled the state that a quorum has on disk");
            metrics::counter!(metric_names::STATES_RECALLED).increment(1);
        }
        self.execute_actions(actions, now)
    }

    fn execute_actions(&mut self, actions: Vec<CoreAction>, now: ClockTime) -> Vec<DriverEffect> {
        let mut effects = Vec::new();
        for action in actions {
            match action {
                CoreAction::Persist { batch, change } => self.disk.persist(PersistRequest {
                    generation: self.generation,
                    batch,
                    change,
                }),
                CoreAction::Send(frame) => effects.push(DriverEffect::Send(frame)),
                CoreAction::Apply { command, .. } => effects.extend(self.apply(&command)),
                CoreAction::RestoreSnapshot { bytes, .. } => effects.extend(self.restore(&bytes)),
                CoreAction::TakeSnapshot { index } => effects.extend(self.compact_log(index, now)),
                CoreAction::ProposeDone { token, result } => {
                    effects.push(DriverEffect::Decided { token, result });
                }
                CoreAction::ReadReady { token, index } => {
                    effects.push(DriverEffect::ReadAt { token, index });
                }
                CoreAction::ReadRefused { token, .. } => {
                    effects.push(DriverEffect::ReadFailed { token });
                }
                CoreAction::LeaderChanged { term, leader } => {
                    let leader = leader.map(|member| member.0);
                    metrics::counter!(metric_names::LEADER_CHANGES).increment(1);
                    tracing::info!(term, leader, "leader changed");
                }
                CoreAction::MembersChanged { index, members } => {
                    let voters = members.voters().count();
                    let all = members.records().len();
                    tracing::info!(index, voters, all, "members changed");
                    effects.push(DriverEffect::MembersChanged);
                }
            }
        }
        effects
    }

    fn apply(&mut self, command: &[u8]) -> Option<DriverEffect> {
        let command = match postcard::from_bytes::<RegisterCommand>(command) {
            Ok(command) => command,
            Err(error) => {
                // Every member skips the command, so the state stays identical.
                tracing::error!(%error, "skipped a log command that cannot be decoded");
                return None;
            }
        };
        match command {
            RegisterCommand::Put(delta) => self.apply_config(delta),
            RegisterCommand::Drain(order) => {
                let outcome = self.drains.apply(&order);
                Some(DriverEffect::DrainApplied { order, outcome })
            }
        }
    }

    fn apply_config(&mut self, delta: ConfigDelta) -> Option<DriverEffect> {
        match self.register.apply(&delta) {
            RegisterChange::Changed => {
                self.history.push(delta);
                Some(DriverEffect::ConfigChanged)
            }
            RegisterChange::Covered | RegisterChange::OtherBase => None,
            RegisterChange::Unreadable { reason } => {
                tracing::error!(reason, "skipped a configuration that cannot be decoded");
                None
            }
        }
    }

    /// Restores the state from a snapshot.
    ///
    /// The log continues from the snapshot, so it is never older than the applied state, except
    /// when a failed disk was reopened.
    fn restore(&mut self, bytes: &[u8]) -> Vec<DriverEffect> {
        let snapshot = match RegisterSnapshot::decode(bytes) {
            Ok(snapshot) => snapshot,
            Err(error) => {
                tracing::error!(%error, "cannot decode the snapshot; run one version on all VMs");
                return Vec::new();
            }
        };
        let mut effects = Vec::new();
        if snapshot.drains.revision() > self.drains.revision() {
            self.drains = snapshot.drains;
            effects.push(DriverEffect::DrainsRestored);
        }
        effects.extend(
            snapshot
                .config
                .and_then(|delta| self.restore_config(&delta)),
        );
        effects
    }

    fn restore_config(&mut self, delta: &ConfigDelta) -> Option<DriverEffect> {
        match self.register.apply(delta) {
            RegisterChange::Changed => {
                self.history.clear();
                Some(DriverEffect::ConfigChanged)
            }
            RegisterChange::Covered => None,
            other => {
                tracing::error!(?other, "cannot apply the configuration of the snapshot");
                None
            }
        }
    }

    fn compact_log(&mut self, index: u64, now: ClockTime) -> Vec<DriverEffect> {
        let full = self
            .register
            .full_delta()
            .map_err(|error| error.to_string());
        let encoded = full.and_then(|config| {
            let drains = self.drains.clone();
            let snapshot = RegisterSnapshot { config, drains };
            snapshot.encode().map_err(|error| error.to_string())
        });
        match encoded {
            Ok(bytes) => self.handle(CoreInput::SnapshotTaken { index, bytes }, now),
            Err(reason) => {
                tracing::error!(
                    reason,
                    "failed to encode the state; the log is not compacted"
                );
                Vec::new()
            }
        }
    }

    /// Finishes queued writes and joins the disk thread.
    pub(crate) fn join(self) {
        self.disk.join();
    }
}

/// Whether the folder has never belonged to a member of a group.
fn is_unused(stored: &StoredState) -> bool {
    stored.entries.is_empty() && stored.snapshot.is_none()
}
