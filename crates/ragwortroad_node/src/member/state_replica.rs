use std::{
    collections::BTreeMap,
    time::Duration, //
};

use ragwortroad_consensus::prelude::*;
use ragwortroad_log::prelude::*;
use ragwortroad_settings::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;
use snafu::ResultExt;

use crate::{
    disk_worker::{
        DiskReport,
        DiskWorker, //
    },
    member::{
        leader_context::LeaderContext,
        proposal_kind::ProposalKind, //
    },
    node_error::{
        FolderSnafu,
        NodeError, //
    },
};

/// A member's replica: its consensus core, the state applied so far, and the disk thread.
pub(crate) struct StateReplica {
    /// The identity of the data folder.
    pub(crate) identity: MemberId,
    /// What the folder held at start; taken when the core is created.
    stored: Option<StoredState>,
    /// Decides how this member joins or bootstraps a group; used until there is a core.
    pub(crate) bootstrap: BootstrapTable,
    /// The consensus core; `None` while the group is being bootstrapped and after the replica has
    /// halted.
    pub(crate) core: Option<ConsensusCore>,
    /// The state that results from the committed log.
    pub(crate) state: FleetState,
    /// The thread that owns the data folder.
    pub(crate) disk: DiskWorker,
    /// Results of applied commands by log index, kept until their proposals are answered.
    pub(crate) applied: BTreeMap<u64, ApplyOutcome>,
    /// Proposals in flight, by token.
    pub(crate) proposals: BTreeMap<u64, ProposalKind>,
    /// Nodes of members, as learned from their frames.
    pub(crate) nodes: BTreeMap<MemberId, NodeId>,
    /// Promises to nodes that reach no leader.
    pub(crate) promises: PromiseTracker,
    /// Present while this member leads.
    pub(crate) leader_context: Option<LeaderContext>,
    /// Set when a command or snapshot could not be applied; only a restart with a corrected program
    /// or data folder helps.
    pub(crate) halted: bool,
    next_token: u64,
    settings: CoreSettings,
}

/// What a replica is created from.
pub(crate) struct ReplicaOptions<'a> {
    pub(crate) settings: &'a ProcessSettings,
    pub(crate) node: NodeId,
    /// A random number; becomes the identity of an empty data folder.
    pub(crate) fresh_identity: u64,
    /// Wall clock time of this process's start, in milliseconds.
    pub(crate) started_wall_ms: u64,
    /// The current time.
    pub(crate) now: ClockTime,
    /// Receives the reports of the disk thread.
    pub(crate) reports: flume::Sender<DiskReport>,
}

impl StateReplica {
    /// Opens the data folder; `None` if the settings name none.
    pub(crate) fn open(start: ReplicaOptions<'_>) -> Result<Option<Self>, NodeError> {
        let Some(path) = start.settings.state.data_folder.clone() else {
            return Ok(None);
        };
        let folder = FolderSettings {
            path,
            fresh_identity: start.fresh_identity,
            boot_id: current_boot_id(),
            min_start: start.started_wall_ms,
            quota_bytes: start.settings.state.data_quota,
            ..FolderSettings::default()
        };
        let (folder, stored) = LogFolder::open(&folder).context(FolderSnafu)?;
        let state = restore_state(&stored)?;
        let identity = MemberId(stored.identity);
        let is_empty = stored.entries.is_empty() && stored.snapshot.is_none();
        let hello = BootstrapHello {
            node: start.node,
            member: identity,
            is_empty,
        };
        let named = start.settings.state.members.iter();
        let named = named.map(|seed| NodeId::from_name(&seed.name));
        let timing = follow_timing(&start.settings.state);
        Ok(Some(Self {
            identity,
            stored: Some(stored),
            bootstrap: BootstrapTable::new(hello, named),
            core: None,
            state,
            disk: DiskWorker::start(folder, start.reports)?,
            applied: BTreeMap::new(),
            proposals: BTreeMap::new(),
            nodes: BTreeMap::new(),
            promises: PromiseTracker::new(timing, start.now),
            leader_context: None,
            halted: false,
            next_token: 0,
            settings: core_settings(&start.settings.state),
        }))
    }

    /// Returns the hello that this member sends to the other members in the settings.
    pub(crate) fn hello(&self, node: NodeId) -> BootstrapHello {
        let is_empty = match (&self.core, &self.stored) {
            (Some(core), _) => core.last_position().index == 0,
            (None, Some(stored)) => is_unused(stored),
            // A halted member's folder is in use; reporting it as empty could bootstrap a second
            // group.
            (None, None) => false,
        };
        BootstrapHello {
            node,
            member: self.identity,
            is_empty,
        }
    }

    /// Creates the core once it is known whether to bootstrap a group here, follow an existing one
    /// or join it.
    pub(crate) fn try_bootstrap(&mut self, now: ClockTime, seed: u64) -> Vec<CoreAction> {
        let initial_members = match self.bootstrap.decide() {
            BootstrapDecision::Wait { .. } => return Vec::new(),
            BootstrapDecision::Bootstrap(members) => Some(members),
            BootstrapDecision::Follow | BootstrapDecision::Join => None,
        };
        let Some(stored) = self.stored.take() else {
            return Vec::new();
        };
        let start = CoreStart {
            stored,
            initial_members,
        };
        match ConsensusCore::new(self.settings.clone(), start, now, seed) {
            Ok((core, actions)) => {
                self.core = Some(core);
                actions
            }
            Err(error) => {
                tracing::error!(%error, "cannot start the consensus core; this member does not participate");
                Vec::new()
            }
        }
    }

    /// Whether this member leads, by its own clock and a lease from a quorum.
    pub(crate) fn leads(&self, now: ClockTime) -> bool {
        let leads = |core: &ConsensusCore| core.may_act_as_leader(now);
        self.leader_context.is_some() && self.core.as_ref().is_some_and(leads)
    }

    /// Returns the node of a member, from the group's records or else from its frames.
    pub(crate) fn node_of(&self, member: MemberId) -> Option<NodeId> {
        let core = self.core.as_ref()?;
        let record = core.members().find(member).map(|record| record.node);
        record.or_else(|| self.nodes.get(&member).copied())
    }

    /// Returns the leader's node as far as this member knows it.
    pub(crate) fn leader_node(&self) -> Option<NodeId> {
        let leader = self.core.as_ref()?.leader()?;
        self.node_of(leader)
    }

    /// Passes an input to the core; no actions while there is no core.
    pub(crate) fn handle(&mut self, input: CoreInput, now: ClockTime) -> Vec<CoreAction> {
        match &mut self.core {
            Some(core) => core.handle(input, now),
            None => Vec::new(),
        }
    }

    /// Proposes a command, and records its purpose under a new token.
    pub(crate) fn propose(
        &mut self,
        action: StateAction,
        kind: ProposalKind,
        wall_ms: u64,
        now: ClockTime,
    ) -> Vec<CoreAction> {
        let Some(context) = &self.leader_context else {
            tracing::warn!("dropped a proposal: this node does not lead");
            return Vec::new();
        };
        let stamp = context.clock.stamp(now, wall_ms);
        let command = StateCommand { stamp, action }.to_bytes();
        let token = self.next_token(kind);
        self.handle(CoreInput::Propose { token, command }, now)
    }

    /// Proposes a membership change.
    pub(crate) fn propose_member(
        &mut self,
        change: MemberChange,
        now: ClockTime,
    ) -> Vec<CoreAction> {
        let token = self.next_token(ProposalKind::Members);
        self.handle(CoreInput::ChangeMember { token, change }, now)
    }

    fn next_token(&mut self, kind: ProposalKind) -> u64 {
        self.next_token += 1;
        self.proposals.insert(self.next_token, kind);
        self.next_token
    }

    /// Whether every entry in this member's log is committed.
    pub(crate) fn is_settled(&self) -> bool {
        let core = self.core.as_ref();
        core.is_some_and(|core| core.commit_index() == core.last_position().index)
    }
}

/// Whether a folder has never been part of a group.
fn is_unused(stored: &StoredState) -> bool {
    stored.entries.is_empty() && stored.snapshot.is_none()
}

/// Restores the state from a stored snapshot; empty without one.
fn restore_state(stored: &StoredState) -> Result<FleetState, NodeError> {
    let Some(snapshot) = &stored.snapshot else {
        return Ok(FleetState::default());
    };
    FleetState::from_snapshot(&snapshot.bytes).map_err(|error| NodeError::Stored {
        reason: error.to_string(),
    })
}

/// Returns the consensus timeouts, derived from the lease in the settings.
pub(crate) fn core_settings(settings: &StateSettings) -> CoreSettings {
    CoreSettings {
        election_timeout: settings.lease,
        heartbeat_interval: settings.lease / 4,
        resend_after: settings.lease / 2,
        clock_drift_ppm: drift_ppm(settings),
        trust_disk: settings.trust_disk,
        ..CoreSettings::default()
    }
}

/// Returns the durations that decide when a change is in force everywhere.
pub(crate) fn follow_timing(settings: &StateSettings) -> FollowTiming {
    FollowTiming {
        bound: settings.follow_bound,
        drift_ppm: drift_ppm(settings),
        leader_lease: core_settings(settings).lease_span(),
    }
}

/// Returns the durations after which orders from a former leader can no longer arrive.
pub(crate) fn order_timing(settings: &StateSettings) -> OrderTiming {
    OrderTiming {
        lease: core_settings(settings).lease_span(),
        drift_ppm: drift_ppm(settings),
        max_delivery_delay: MAX_ORDER_FLIGHT,
    }
}

/// Maximum time between the check of the lease and an order's effect on its engine. The timeouts of
/// the sender enforce it.
pub(crate) const MAX_ORDER_FLIGHT: Duration = Duration::from_secs(5);

fn drift_ppm(settings: &StateSettings) -> u32 {
    u32::try_from(settings.drift_permille * 1000).unwrap_or(u32::MAX)
}
