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

/// The replicated state after the log entries applied so far.
///
/// Two members that applied the same entries in the same order have equal states, no matter which
/// snapshots they started from. The state reads no clock; time comes from the command stamps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetState {
    pub(crate) applied: u64,
    /// Invariant: never decreases.
    pub(crate) now: StateTime,
    pub(crate) changes: ChangeLog,
    pub(crate) claims: ClaimTable,
    pub(crate) lease: LeaseTable,
    pub(crate) plan: OrderPlan,
    pub(crate) grace: GraceRecord,
}

/// The result of an applied command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The state clock advanced.
    Ticked,
    /// A configuration change was accepted or refused.
    Changed(ChangeOutcome),
    /// Claim steps were applied; one outcome per step, in the same order.
    Claimed(Vec<ClaimOutcome>),
    /// The order lease was granted.
    OrdersTaken {
        /// The new lease holder.
        holder: NodeId,
        /// The fencing token of the new lease.
        fence: FencingToken,
    },
    /// An update of the order plan was applied or refused.
    Planned(PlanOutcome),
}

/// Why a log entry could not be applied.
///
/// The member must stop applying entries: if it skipped this one, its state would differ from the
/// other members' for good.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum ApplyError {
    /// The entry's log index is not greater than that of the last applied entry.
    #[snafu(display(
        "entry {index} arrived after entry {applied} was applied; apply each entry once, in order"
    ))]
    OutOfOrder {
        /// The log index of the entry.
        index: u64,
        /// The log index of the last applied entry.
        applied: u64,
    },
    /// The entry could not be decoded as a command.
    #[snafu(display("entry {index}: {source}"))]
    BadCommand {
        /// The log index of the entry.
        index: u64,
        /// The decoding error.
        source: CommandError,
    },
}

impl FleetState {
    /// Applies the log entry at `index`, which must be greater than that of the last applied entry.
    pub fn apply(&mut self, index: u64, bytes: &[u8]) -> Result<ApplyOutcome, ApplyError> {
        let applied = self.applied;
        ensure!(index > applied, OutOfOrderSnafu { index, applied });
        let command = StateCommand::from_bytes(bytes).context(BadCommandSnafu { index })?;
        self.applied = index;
        Ok(self.apply_command(command))
    }

    fn apply_command(&mut self, command: StateCommand) -> ApplyOutcome {
        let StateCommand { stamp, action } = command;
        // A stamp from an entry that a former leader proposed may be older than the state clock.
        // The clock never goes back, because expired idempotency keys would then count as
        // remembered again.
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

    /// The log index of the last applied command; 0 before the first.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The time of the state clock.
    pub fn now(&self) -> StateTime {
        self.now
    }

    /// The current configuration.
    pub fn config(&self) -> &FleetConfig {
        self.changes.config()
    }

    /// The configuration's change history.
    pub fn changes(&self) -> &ChangeLog {
        &self.changes
    }

    /// The update that brings a follower from `revision` to the current one.
    pub fn config_since(&self, revision: u64) -> ConfigUpdate {
        self.changes.config_since(revision)
    }

    /// The idempotency claims of all customers.
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// The lease that allows its holder to send orders to engines.
    pub fn lease(&self) -> &LeaseTable {
        &self.lease
    }

    /// The planned targets of the engines.
    pub fn plan(&self) -> &OrderPlan {
        &self.plan
    }

    /// The longest quorum-loss grace period under which an admission lease may still be running.
    pub fn longest_grace(&self) -> Duration {
        let declared = self.config().quorum_loss.grace();
        declared.max(self.grace.longest_former(self.now))
    }

    /// Encodes the whole state as a snapshot.
    pub fn to_snapshot(&self) -> Vec<u8> {
        SnapshotView::from(self).to_bytes()
    }

    /// Decodes a snapshot written by [`Self::to_snapshot`].
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
