use std::{
    path::PathBuf,
    str::FromStr,
    time::Duration, //
};

use crate::{
    seed_address::SeedAddress,
    settings_reader::SettingsReader, //
};

/// What a node does while the state members have no quorum.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QuorumPolicy {
    /// Refuse new work: no accepted change can be missed.
    #[default]
    Refuse,
    /// Go on with the last configuration that was confirmed.
    Continue,
}

impl FromStr for QuorumPolicy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "refuse" => Ok(Self::Refuse),
            "continue" => Ok(Self::Continue),
            _ => Err("neither 'refuse' nor 'continue'".to_owned()),
        }
    }
}

/// `[state]`: the replicated state, and this node's part in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateSettings {
    /// The members that hold the state, as they were when the fleet was founded.
    pub members: Vec<SeedAddress>,
    /// Where this node keeps its part; only members have one.
    pub data_folder: Option<PathBuf>,
    /// Bytes that the data folder may take; beyond them this member acknowledges nothing.
    pub data_quota: Option<u64>,
    /// How long a node may admit work after it last confirmed that its configuration is current.
    pub follow_bound: Duration,
    /// How long the leader is in charge after its quorum last answered.
    pub lease: Duration,
    /// The most by which two clocks drift apart, in thousandths.
    pub drift_permille: u64,
    /// What to do while the members have no quorum.
    pub without_quorum: QuorumPolicy,
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
            without_quorum: QuorumPolicy::Refuse,
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
            let remedy = "name 1, 3, 5 or 7; an even number survives no more losses".to_owned();
            reader.fault("state", "members", message, remedy);
        }
        let bound = reader.span(
            "state",
            "follow_bound_ms",
            default.follow_bound,
            (300, 17_000),
        );
        let lease = reader.span("state", "lease_ms", default.lease, (100, 15_000));
        let policy = reader.optional_value("state", "without_quorum", "refuse");
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
            without_quorum: policy.unwrap_or_default(),
        }
    }
}
