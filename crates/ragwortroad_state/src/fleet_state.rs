use std::time::Duration;

use ragwortroad_types::prelude::*;
use snafu::{
    ResultExt,
    Snafu,
    ensure, //
};

use crate::{
    ChangeLog,
    ChangeOutcome,
    ClaimOutcome,
    ClaimTable,
    CommandError,
    ConfigUpdate,
    FleetConfig,
    LeaseTable,
    OrderPlan,
    PlanOutcome,
    StateAction,
    StateCommand,
    StateTime,
    grace_record::GraceRecord,
    snapshot_wire::{
        SnapshotError,
        SnapshotView,
        SnapshotWire, //
    }, //
};

/// All that is replicated, as it stands after the commands applied so far.
///
/// Two members that applied the same commands in the same order have equal states, whatever
/// snapshots they started from. It reads no clock: time comes with the commands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetState {
    pub(crate) applied: u64,
    /// Invariant: never falls.
    pub(crate) now: StateTime,
    pub(crate) changes: ChangeLog,
    pub(crate) claims: ClaimTable,
    pub(crate) lease: LeaseTable,
    pub(crate) plan: OrderPlan,
    pub(crate) grace: GraceRecord,
}

/// What a command did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The clock moved on.
    Ticked,
    /// A change was decided on.
    Changed(ChangeOutcome),
    /// Claim steps were carried out; one outcome for each, in their order.
    Claimed(Vec<ClaimOutcome>),
    /// The lease for orders was granted with this number.
    OrdersTaken {
        /// Who has it.
        holder: NodeId,
        /// Its number.
        fence: FenceNumber,
    },
    /// A plan was taken in or refused.
    Planned(PlanOutcome),
}

/// Why a command cannot be applied. The member must stop applying: going on without the command
/// would make its state differ from the others' for good.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum ApplyError {
    /// Its place in the log is not after the last one's.
    #[snafu(display(
        "entry {index} came after entry {applied}; hand entries over once and in order"
    ))]
    OutOfOrder {
        /// Its place.
        index: u64,
        /// The last one's.
        applied: u64,
    },
    /// Its bytes are no command.
    #[snafu(display("entry {index}: {source}"))]
    BadCommand {
        /// Its place.
        index: u64,
        /// What is wrong with it.
        source: CommandError,
    },
}

impl FleetState {
    /// Applies the entry at `index` of the log.
    pub fn apply(&mut self, index: u64, bytes: &[u8]) -> Result<ApplyOutcome, ApplyError> {
        let applied = self.applied;
        ensure!(index > applied, OutOfOrderSnafu { index, applied });
        let command = StateCommand::from_bytes(bytes).context(BadCommandSnafu { index })?;
        self.applied = index;
        Ok(self.apply_command(command))
    }

    fn apply_command(&mut self, command: StateCommand) -> ApplyOutcome {
        let StateCommand { stamp, action } = command;
        // A stamp behind the state's clock comes from an entry that a former leader proposed; the
        // clock stands still rather than go back, since expired keys would be remembered again.
        self.now = self.now.max(stamp.state);
        match action {
            StateAction::Tick => {
                let config = self.changes.config();
                self.claims
                    .apply(config, Vec::new(), self.now, stamp.wall_ms);
                ApplyOutcome::Ticked
            }
            StateAction::Change(change) => {
                let before = self.changes.config().quorum_loss.grace();
                let outcome = self.changes.apply(change, self.now);
                let after = self.changes.config().quorum_loss.grace();
                self.grace.record_change(before, after, self.now);
                ApplyOutcome::Changed(outcome)
            }
            StateAction::Claims(steps) => {
                let config = self.changes.config();
                let outcomes = self.claims.apply(config, steps, self.now, stamp.wall_ms);
                ApplyOutcome::Claimed(outcomes)
            }
            StateAction::TakeOrders { holder } => {
                let fence = self.lease.grant(holder, self.now);
                ApplyOutcome::OrdersTaken { holder, fence }
            }
            StateAction::Plan { fence, targets } => {
                ApplyOutcome::Planned(self.plan.set(&self.lease, fence, targets))
            }
        }
    }

    /// The place in the log of the last command applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The state's clock.
    pub fn now(&self) -> StateTime {
        self.now
    }

    /// What operators declared.
    pub fn config(&self) -> &FleetConfig {
        self.changes.config()
    }

    /// The changes that led there.
    pub fn changes(&self) -> &ChangeLog {
        &self.changes
    }

    /// What a follower at `revision` needs.
    pub fn config_since(&self, revision: u64) -> ConfigUpdate {
        self.changes.config_since(revision)
    }

    /// The claims.
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// Who may give orders.
    pub fn lease(&self) -> &LeaseTable {
        &self.lease
    }

    /// What engines shall be.
    pub fn plan(&self) -> &OrderPlan {
        &self.plan
    }

    /// The longest grace of the quorum-loss policy that an admission lease may still run with.
    pub fn longest_grace(&self) -> Duration {
        let declared = self.config().quorum_loss.grace();
        declared.max(self.grace.longest_former(self.now))
    }

    /// The whole state as bytes.
    pub fn to_snapshot(&self) -> Vec<u8> {
        SnapshotView::from(self).to_bytes()
    }

    /// The state from bytes of [`Self::to_snapshot`].
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, SnapshotError> {
        SnapshotWire::from_bytes(bytes).map(Self::from)
    }
}

impl<'a> From<&'a FleetState> for SnapshotView<'a> {
    fn from(state: &'a FleetState) -> Self {
        Self {
            applied: state.applied,
            now: state.now,
            changes: state.changes.to_wire(),
            claims: &state.claims,
            lease: &state.lease,
            plan: &state.plan,
            grace: state.grace,
        }
    }
}

impl From<SnapshotWire> for FleetState {
    fn from(wire: SnapshotWire) -> Self {
        Self {
            applied: wire.applied,
            now: wire.now,
            changes: wire.changes.into(),
            claims: wire.claims,
            lease: wire.lease,
            plan: wire.plan,
            grace: wire.grace,
        }
    }
}
