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
    pub(crate) applied: u64,
    pub(crate) now: StateTime,
    pub(crate) changes: ChangeLogWire,
    pub(crate) claims: &'a ClaimTable,
    pub(crate) lease: &'a LeaseTable,
    pub(crate) plan: &'a OrderPlan,
    pub(crate) grace: GraceRecord,
}

/// The state as it is read from a snapshot.
#[derive(Deserialize)]
pub(crate) struct SnapshotWire {
    pub(crate) applied: u64,
    pub(crate) now: StateTime,
    pub(crate) changes: ChangeLogWire,
    pub(crate) claims: ClaimTable,
    pub(crate) lease: LeaseTable,
    pub(crate) plan: OrderPlan,
    pub(crate) grace: GraceRecord,
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
