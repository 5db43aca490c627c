use std::time::Duration;

use crate::settings_reader::SettingsReader;

/// `[orders]`: limits on the orders that the leader sends to engines and on loads from the weight
/// store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrderSettings {
    /// Rate of the weight store, in megabytes per second.
    pub store_mb_per_s: u32,
    /// Megabytes that may be requested from it in one burst after a pause.
    pub store_burst_mb: u32,
    /// Most loads in progress at once.
    pub loads_at_once: usize,
    /// Most models on one engine, where each version counts.
    pub models_per_engine: usize,
    /// Time after which an order without visible effect is sent again.
    pub resend: Duration,
    /// Time after which a load without visible effect releases its place at the weight store.
    pub load_bound: Duration,
}

impl Default for EngineOrderSettings {
    fn default() -> Self {
        Self {
            store_mb_per_s: 500,
            store_burst_mb: 20_000,
            loads_at_once: 4,
            models_per_engine: 2,
            resend: Duration::from_secs(5),
            load_bound: Duration::from_secs(600),
        }
    }
}

impl EngineOrderSettings {
    pub(crate) fn read(reader: &mut SettingsReader<'_>) -> Self {
        let default = Self::default();
        let mut number = |key, default: u64, max| reader.number("orders", key, default, (1, max));
        let rate = number("store_mb_per_s", default.store_mb_per_s.into(), MAX_MB);
        let burst = number("store_burst_mb", default.store_burst_mb.into(), MAX_MB);
        let loads = number("loads_at_once", default.loads_at_once as u64, 1000);
        let models = number("models_per_engine", default.models_per_engine as u64, 64);
        Self {
            store_mb_per_s: u32::try_from(rate).unwrap_or(default.store_mb_per_s),
            store_burst_mb: u32::try_from(burst).unwrap_or(default.store_burst_mb),
            loads_at_once: loads as usize,
            models_per_engine: models as usize,
            resend: reader.millis("orders", "resend_ms", default.resend, (50, 600_000)),
            load_bound: reader.millis(
                "orders",
                "load_bound_ms",
                default.load_bound,
                (1000, 7_200_000),
            ),
        }
    }
}

/// One terabyte, in megabytes.
const MAX_MB: u64 = 1_000_000;
