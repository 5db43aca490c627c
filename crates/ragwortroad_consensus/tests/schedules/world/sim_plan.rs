use std::time::Duration;

use ragwortroad_consensus::CoreSettings;

use super::FaultKind;

/// What a schedule does to a group.
#[derive(Clone, Debug)]
pub(crate) struct SimPlan {
    pub(crate) seed: u64,
    pub(crate) nodes: usize,
    /// Nodes that found the group; the others wait as spares.
    pub(crate) founders: usize,
    /// True time with faults, and then without.
    pub(crate) fault_ms: u64,
    pub(crate) fault_free_ms: u64,
    pub(crate) loss_percent: u32,
    pub(crate) duplicate_percent: u32,
    pub(crate) late_percent: u32,
    /// Mean time between faults.
    pub(crate) fault_every_ms: u64,
    /// Mean time between commands or reads.
    pub(crate) client_every_ms: u64,
    /// Writes that take up to 300 ms.
    pub(crate) slow_write_percent: u32,
    /// How far the clocks are off, in millionths.
    pub(crate) drift_ppm: i64,
    /// What goes wrong, each as likely as the others.
    pub(crate) kinds: Vec<FaultKind>,
    /// Chance that a disk is rolled back, each time the operator looks and the group can bear it.
    pub(crate) rollback_percent: u32,
    pub(crate) core: CoreSettings,
}

impl Default for SimPlan {
    fn default() -> Self {
        Self {
            seed: 1,
            nodes: 3,
            founders: 3,
            fault_ms: 60_000,
            fault_free_ms: 12_000,
            loss_percent: 5,
            duplicate_percent: 3,
            late_percent: 3,
            fault_every_ms: 1500,
            client_every_ms: 60,
            slow_write_percent: 2,
            drift_ppm: 10_000,
            kinds: FaultKind::ALL.to_vec(),
            rollback_percent: 1,
            core: Self::small_limits(),
        }
    }
}

impl SimPlan {
    /// Bounds so small that snapshots, pieces and full pipelines come up all the time.
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
