use serde::{
    Deserialize,
    Serialize, //
};
use snafu::{
    ResultExt,
    Snafu,
    ensure, //
};

use crate::{
    ClaimTable,
    FleetState,
    LeaseTable,
    OrderPlan,
    StateTime,
    change::change_log::ChangeLogWire,
    grace_record::GraceRecord, //
};

/// The version of snapshots that this program writes.
pub const SNAPSHOT_VERSION: u8 = 1;

/// The state as it is written into a snapshot.
///
/// Invariant: has the fields of [`SnapshotWire`] in the same order, by reference, so that writing
/// a snapshot does not copy all claims first.
#[derive(Serialize)]
pub(crate) struct SnapshotView<'a> {
    applied: u64,
    now: StateTime,
    changes: ChangeLogWire,
    claims: &'a ClaimTable,
    lease: &'a LeaseTable,
    plan: &'a OrderPlan,
    grace: GraceRecord,
}

/// The state as it is read from a snapshot.
#[derive(Deserialize)]
pub(crate) struct SnapshotWire {
    applied: u64,
    now: StateTime,
    changes: ChangeLogWire,
    claims: ClaimTable,
    lease: LeaseTable,
    plan: OrderPlan,
    grace: GraceRecord,
}

/// Why bytes are no snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum SnapshotError {
    /// Another program version wrote it.
    #[snafu(display(
        "the snapshot has version {version} and this program reads {SNAPSHOT_VERSION}; install \
         the program version that wrote it"
    ))]
    OtherVersion {
        /// The version.
        version: u8,
    },
    /// It cannot be read.
    #[snafu(display("the snapshot cannot be read ({source}); fetch it again from another member"))]
    UnreadableSnapshot {
        /// What the codec says.
        source: postcard::Error,
    },
    /// It has no bytes.
    #[snafu(display("the snapshot is empty; fetch it again from another member"))]
    EmptySnapshot,
}

impl SnapshotView<'_> {
    pub(crate) fn to_bytes(&self) -> Vec<u8> {
        // Encoding into a growing buffer has no error; see `FleetConfig::digest`.
        postcard::to_extend(self, vec![SNAPSHOT_VERSION]).unwrap_or_default()
    }
}

impl SnapshotWire {
    pub(crate) fn from_bytes(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let (version, rest) = bytes.split_first().ok_or(SnapshotError::EmptySnapshot)?;
        ensure!(
            *version == SNAPSHOT_VERSION,
            OtherVersionSnafu { version: *version }
        );
        postcard::from_bytes(rest).context(UnreadableSnapshotSnafu)
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
