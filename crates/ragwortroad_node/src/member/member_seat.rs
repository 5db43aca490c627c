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
        leader_desk::LeaderDesk,
        proposal_kind::ProposalKind, //
    },
    node_error::{
        FolderSnafu,
        NodeError, //
    },
};

/// A member's core, state and disk.
pub(crate) struct MemberSeat {
    /// The identity of the data folder.
    pub(crate) identity: MemberId,
    /// What the folder held, until the core is made of it.
    stored: Option<StoredState>,
    /// Decides about founding; only as long as there is no core.
    pub(crate) founding: FoundingTable,
    /// The core; nothing while the group is being founded.
    pub(crate) core: Option<ConsensusCore>,
    /// What the log has led to.
    pub(crate) state: FleetState,
    /// The thread that owns the folder.
    pub(crate) disk: DiskWorker,
    /// What came of applied commands that were proposed here, until their results are passed on.
    pub(crate) applied: BTreeMap<u64, ApplyOutcome>,
    /// Proposals under way, by token.
    pub(crate) proposals: BTreeMap<u64, ProposalKind>,
    /// Nodes of members, as learned from their frames.
    pub(crate) nodes: BTreeMap<MemberId, NodeId>,
    /// Promises to nodes that reach no leader.
    pub(crate) promises: PromiseTracker,
    /// Present while this member leads.
    pub(crate) desk: Option<LeaderDesk>,
    /// The state could not be carried on; only a restart with a mended program or folder helps.
    pub(crate) halted: bool,
    next_token: u64,
    settings: CoreSettings,
    start: u64,
}

/// What a seat is made from.
pub(crate) struct SeatStart<'a> {
    /// The process's settings.
    pub(crate) settings: &'a ProcessSettings,
    /// This node.
    pub(crate) node: NodeId,
    /// A random number, for an empty folder.
    pub(crate) fresh_identity: u64,
    /// Milliseconds of the wall clock.
    pub(crate) start: u64,
    /// The time.
    pub(crate) now: ClockTime,
    /// Where the disk thread reports.
    pub(crate) reports: flume::Sender<DiskReport>,
}

impl MemberSeat {
    /// Opens the data folder, if the settings name one.
    pub(crate) fn open(start: SeatStart<'_>) -> Result<Option<Self>, NodeError> {
        let Some(path) = start.settings.state.data_folder.clone() else {
            return Ok(None);
        };
        let folder = FolderSettings {
            path,
            fresh_identity: start.fresh_identity,
            boot: current_boot(),
            quota_bytes: start.settings.state.data_quota,
            ..FolderSettings::default()
        };
        let (folder, stored) = LogFolder::open(&folder).context(FolderSnafu)?;
        let state = stored_fleet(&stored)?;
        let identity = MemberId(stored.identity);
        let is_empty = stored.entries.is_empty() && stored.snapshot.is_none();
        let hello = FoundingHello {
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
            founding: FoundingTable::new(hello, named),
            core: None,
            state,
            disk: DiskWorker::start(folder, start.reports)?,
            applied: BTreeMap::new(),
            proposals: BTreeMap::new(),
            nodes: BTreeMap::new(),
            promises: PromiseTracker::new(timing, start.now),
            desk: None,
            halted: false,
            next_token: 0,
            settings: core_settings(&start.settings.state),
            start: start.start,
        }))
    }

    /// What this member says of itself to the others that the settings name.
    pub(crate) fn hello(&self, node: NodeId) -> FoundingHello {
        let is_empty = match (&self.core, &self.stored) {
            (Some(core), _) => core.last_position().index == 0,
            (None, Some(stored)) => is_unused(stored),
            // A halted member's folder is in use; "empty" could found a second group.
            (None, None) => false,
        };
        FoundingHello {
            node,
            member: self.identity,
            is_empty,
        }
    }

    /// Makes the core, once it is clear whether a group exists, is founded here, or elsewhere.
    pub(crate) fn try_found(&mut self, now: ClockTime, seed: u64) -> Vec<CoreAction> {
        let founders = match self.founding.step() {
            FoundingStep::Wait { .. } => return Vec::new(),
            FoundingStep::Found(members) => Some(members),
            FoundingStep::Follow | FoundingStep::Join => None,
        };
        let Some(stored) = self.stored.take() else {
            return Vec::new();
        };
        let start = CoreStart {
            stored,
            start: self.start,
            founders,
        };
        match ConsensusCore::new(self.settings.clone(), start, now, seed) {
            Ok((core, actions)) => {
                self.core = Some(core);
                actions
            }
            Err(error) => {
                tracing::error!(%error, "this member cannot take part");
                Vec::new()
            }
        }
    }

    /// Whether this member is the one in charge, by its own clock and a quorum's word.
    pub(crate) fn leads(&self, now: ClockTime) -> bool {
        let leads = |core: &ConsensusCore| core.may_act_as_leader(now);
        self.desk.is_some() && self.core.as_ref().is_some_and(leads)
    }

    /// The node of a member.
    pub(crate) fn node_of(&self, member: MemberId) -> Option<NodeId> {
        let core = self.core.as_ref()?;
        let record = core.members().find(member).map(|record| record.node);
        record.or_else(|| self.nodes.get(&member).copied())
    }

    /// The leader's node by this member's knowledge.
    pub(crate) fn leader_node(&self) -> Option<NodeId> {
        let leader = self.core.as_ref()?.leader()?;
        self.node_of(leader)
    }

    /// Hands an input to the core.
    pub(crate) fn handle(&mut self, input: CoreInput, now: ClockTime) -> Vec<CoreAction> {
        match &mut self.core {
            Some(core) => core.handle(input, now),
            None => Vec::new(),
        }
    }

    /// Proposes a command and remembers what it is for.
    pub(crate) fn propose(
        &mut self,
        action: StateAction,
        kind: ProposalKind,
        wall_ms: u64,
        now: ClockTime,
    ) -> Vec<CoreAction> {
        let Some(desk) = &self.desk else {
            tracing::warn!("a proposal was made without the lead; it is dropped");
            return Vec::new();
        };
        let stamp = desk.clock.stamp(now, wall_ms);
        let command = StateCommand { stamp, action }.to_bytes();
        let token = self.next_token(kind);
        self.handle(CoreInput::Propose { token, command }, now)
    }

    /// Proposes a step in the membership.
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

    /// Longest time for which this member's log has all it knows applied.
    pub(crate) fn is_settled(&self) -> bool {
        let core = self.core.as_ref();
        core.is_some_and(|core| core.commit_index() == core.last_position().index)
    }
}

/// Whether a folder has never been part of a group.
fn is_unused(stored: &StoredState) -> bool {
    stored.entries.is_empty() && stored.snapshot.is_none()
}

/// The state that a stored snapshot stands for.
fn stored_fleet(stored: &StoredState) -> Result<FleetState, NodeError> {
    let Some(snapshot) = &stored.snapshot else {
        return Ok(FleetState::default());
    };
    FleetState::from_snapshot(&snapshot.bytes).map_err(|error| NodeError::Stored {
        reason: error.to_string(),
    })
}

/// Spans of the agreement, from the lease in the settings.
pub(crate) fn core_settings(settings: &StateSettings) -> CoreSettings {
    CoreSettings {
        election_timeout: settings.lease,
        heartbeat_every: settings.lease / 4,
        resend_after: settings.lease / 2,
        clock_drift_ppm: drift_ppm(settings),
        trust_disk: settings.trust_disk,
        ..CoreSettings::default()
    }
}

/// Spans of the rule when a change is in force everywhere.
pub(crate) fn follow_timing(settings: &StateSettings) -> FollowTiming {
    FollowTiming {
        bound: settings.follow_bound,
        drift_ppm: drift_ppm(settings),
        leader_lease: core_settings(settings).lease_span(),
    }
}

/// Spans of the rule when orders of a former leader can no longer arrive.
pub(crate) fn order_timing(settings: &StateSettings) -> OrderTiming {
    OrderTiming {
        lease: core_settings(settings).lease_span(),
        drift_ppm: drift_ppm(settings),
        max_delivery_delay: ORDER_FLIGHT,
    }
}

/// Longest time between the check of the lease and an order's effect at its engine; the sender's
/// timeouts keep it below.
pub(crate) const ORDER_FLIGHT: Duration = Duration::from_secs(5);

fn drift_ppm(settings: &StateSettings) -> u32 {
    u32::try_from(settings.drift_permille * 1000).unwrap_or(u32::MAX)
}
