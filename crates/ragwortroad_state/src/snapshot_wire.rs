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

/// Format version of the snapshots this build writes, and the only one it reads.
pub const SNAPSHOT_VERSION: u8 = 1;

/// The state as encoded in a snapshot.
///
/// Invariant: has the fields of [`SnapshotWire`] in the same order. Fields are borrowed so that
/// writing a snapshot does not copy all claims first.
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

/// The state as decoded from a snapshot.
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

/// Why a snapshot could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum SnapshotError {
    /// A build with another snapshot version wrote it.
    #[snafu(display(
        "the snapshot has version {version}, but this build reads version {SNAPSHOT_VERSION}; \
         install the build that wrote it"
    ))]
    OtherVersion {
        /// The version in the snapshot's first byte.
        version: u8,
    },
    /// The bytes after the version could not be decoded.
    #[snafu(display(
        "the snapshot could not be decoded ({source}); fetch it again from another member"
    ))]
    UnreadableSnapshot {
        /// The decoder's error.
        source: postcard::Error,
    },
    /// The snapshot has no bytes.
    #[snafu(display("the snapshot is empty; fetch it again from another member"))]
    EmptySnapshot,
}

impl SnapshotView<'_> {
    pub(crate) fn to_bytes(&self) -> Vec<u8> {
        // Encoding into a growable buffer cannot fail; see `FleetConfig::digest`.
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
