use std::time::Duration;

use ragwortroad_consensus::CoreSettings;

use super::FaultKind;

/// Parameters of one schedule.
#[derive(Clone, Debug)]
pub(crate) struct SimPlan {
    pub(crate) seed: u64,
    pub(crate) nodes: usize,
    /// Number of nodes that bootstrap the group; the others join later.
    pub(crate) initial_members: usize,
    /// True time with faults, followed by true time without.
    pub(crate) fault_ms: u64,
    pub(crate) fault_free_ms: u64,
    pub(crate) loss_percent: u32,
    pub(crate) duplicate_percent: u32,
    pub(crate) late_percent: u32,
    /// Mean time between faults.
    pub(crate) fault_every_ms: u64,
    /// Mean time between commands or reads.
    pub(crate) client_every_ms: u64,
    /// Share of writes that take up to 300 ms.
    pub(crate) slow_write_percent: u32,
    /// Drift of the clocks, in parts per million.
    pub(crate) drift_ppm: i64,
    /// Largest step of the time of day, drawn anew at every start of a node.
    pub(crate) wall_step_ms: u64,
    /// Kinds of faults to inject, with equal probability.
    pub(crate) kinds: Vec<FaultKind>,
    /// Probability of a disk rollback at each check of the operator, if the group can tolerate it.
    pub(crate) rollback_percent: u32,
    pub(crate) core: CoreSettings,
}

impl Default for SimPlan {
    fn default() -> Self {
        Self {
            seed: 1,
            nodes: 3,
            initial_members: 3,
            fault_ms: 60_000,
            fault_free_ms: 12_000,
            loss_percent: 5,
            duplicate_percent: 3,
            late_percent: 3,
            fault_every_ms: 1500,
            client_every_ms: 60,
            slow_write_percent: 2,
            drift_ppm: 10_000,
            wall_step_ms: 0,
            kinds: FaultKind::ALL.to_vec(),
            rollback_percent: 1,
            core: Self::small_limits(),
        }
    }
}

impl SimPlan {
    /// Limits so small that snapshots, chunks and full pipelines occur all the time.
    pub(crate) fn small_limits() -> CoreSettings {
        CoreSettings {
            election_timeout: Duration::from_millis(400),
            heartbeat_interval: Duration::from_millis(100),
            resend_after: Duration::from_millis(200),
            max_append_bytes: 300,
            max_in_flight: 3,
            snapshot_threshold_entries: 60,
            trailing_entries: 10,
            max_chunk_bytes: 500,
            max_promotion_lag: 8,
            ..CoreSettings::default()
        }
    }
}
