use std::{
    path::PathBuf,
    time::Duration, //
};

use crate::{
    seed_address::SeedAddress,
    settings_reader::SettingsReader, //
};

/// `[state]`: the replicated state, and this node's part in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateSettings {
    /// Members that store the state, as of the founding of the fleet.
    pub members: Vec<SeedAddress>,
    /// Folder in which this node stores its copy; only members have one.
    pub data_folder: Option<PathBuf>,
    /// Most bytes that the data folder may use; beyond them this member acknowledges nothing.
    pub data_quota: Option<u64>,
    /// How long a node may admit requests after it last confirmed that its configuration is
    /// current.
    pub follow_bound: Duration,
    /// How long the leader stays in charge after its quorum last answered.
    pub lease: Duration,
    /// Largest drift between two clocks, in thousandths.
    pub drift_permille: u64,
    /// Whether to start after a reboot of the machine without asking the other members what they
    /// know.
    ///
    /// An operator sets it for a single start, when too few members are left to ask and it is
    /// certain that no disk was rolled back.
    pub trust_disk: bool,
}

impl Default for StateSettings {
    fn default() -> Self {
        Self {
            members: Vec::new(),
            data_folder: None,
            data_quota: None,
            follow_bound: Duration::from_secs(3),
            lease: Duration::from_secs(2),
            drift_permille: 10,
            trust_disk: false,
        }
    }
}

impl StateSettings {
    pub(crate) fn read(reader: &mut SettingsReader<'_>) -> Self {
        let default = Self::default();
        let example = "rvk-a-1@10.0.0.7:9080, hfj-b-1@10.0.1.7:9080, kef-c-1@10.0.2.7:9080";
        let members: Vec<SeedAddress> = reader.list("state", "members", example);
        if members.len().is_multiple_of(2) {
            let message = format!("names {} members", members.len());
            let remedy = "name 1, 3, 5 or 7; an even number tolerates no more failures".to_owned();
            reader.fault("state", "members", message, remedy);
        }
        let bound = reader.millis(
            "state",
            "follow_bound_ms",
            default.follow_bound,
            (300, 17_000),
        );
        let lease = reader.millis("state", "lease_ms", default.lease, (100, 15_000));
        let trust_disk = reader.optional_value("state", "trust_disk", "false");
        Self {
            members,
            data_folder: reader.text("state", "data_folder").map(PathBuf::from),
            data_quota: reader.optional_value("state", "data_quota_bytes", "1073741824"),
            follow_bound: bound,
            lease,
            drift_permille: reader.number(
                "state",
                "drift_permille",
                default.drift_permille,
                (0, 200),
            ),
            trust_disk: trust_disk.unwrap_or(false),
        }
    }
}
