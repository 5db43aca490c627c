use std::time::Duration;

/// Pacing of one kind of message from a registry to many receivers.
///
/// A message that is small for one edge is large for all of them. Sent at once, it occupies the
/// link for seconds; consensus heartbeats, address lookups and acknowledgements to endpoints queue
/// behind it, and their receivers consider the registry dead although it is healthy.
#[derive(Clone, Copy, Debug)]
pub struct SendPace {
    /// Bytes per second that the link carries.
    pub link_rate: f64,
    /// Long-term share of the link for this kind of message.
    pub link_share: f64,
    /// Longest time for which one message to all receivers may occupy the link.
    pub max_burst: Duration,
}

/// Shortest interval between two messages with loads or prefix locations.
///
/// An edge that does not know a location yet selects the same engine by hashing, unless engines
/// have come or gone.
pub const SPREAD_INTERVAL: Duration = Duration::from_millis(200);

/// Share of a registry's link for loads.
///
/// Above it, loads are delayed, so that drains and configurations are not.
const LOADS_LINK_SHARE: f64 = 0.3;

/// Share of a registry's link for prefix locations.
///
/// There are many only after a restart of the whole fleet, when edges without them have prefixes
/// computed again.
const LOCATIONS_LINK_SHARE: f64 = 0.5;

/// Longest time for which one message with loads, locations or whole configurations may occupy a
/// registry's link.
///
/// It delays heartbeats and answers as long; the followers tolerate a few late heartbeats of the
/// leader before an election.
const SPREAD_BURST: Duration = Duration::from_millis(100);

/// Share of a registry's link for whole configurations.
///
/// Edges request one after a start and cannot serve before they have it.
const CONFIGS_LINK_SHARE: f64 = 0.8;

/// Share of a registry's link for deferrable endpoint updates.
///
/// There are many only after a restart of the whole fleet, when there are few loads and prefix
/// locations.
const UPDATES_LINK_SHARE: f64 = 0.6;

/// Longest time for which deferrable endpoint updates may occupy a registry's link.
///
/// A third of the election timeout.
const UPDATES_BURST: Duration = Duration::from_millis(250);

impl SendPace {
    /// Returns the pace of load messages.
    pub fn for_loads(link_rate: f64) -> Self {
        Self {
            link_rate,
            link_share: LOADS_LINK_SHARE,
            max_burst: SPREAD_BURST,
        }
    }

    /// Returns the pace of prefix locations.
    pub fn for_locations(link_rate: f64) -> Self {
        Self {
            link_share: LOCATIONS_LINK_SHARE,
            ..Self::for_loads(link_rate)
        }
    }

    /// Returns the pace of whole configurations.
    pub fn for_configs(link_rate: f64) -> Self {
        Self {
            link_share: CONFIGS_LINK_SHARE,
            ..Self::for_loads(link_rate)
        }
    }

    /// Returns the pace of deferrable endpoint updates.
    pub fn for_updates(link_rate: f64) -> Self {
        Self {
            link_rate,
            link_share: UPDATES_LINK_SHARE,
            max_burst: UPDATES_BURST,
        }
    }

    /// Returns how many items of `item_bytes` each of `receivers` may be sent at once; at least
    /// one.
    pub fn max_batch_items(&self, receivers: usize, item_bytes: f64) -> usize {
        let bytes = self.link_rate * self.max_burst.as_secs_f64();
        let items = bytes / item_bytes / receivers.max(1) as f64;
        (items as usize).max(1)
    }

    /// Returns the delay until the next message after one of `bytes` for all receivers together.
    pub fn delay_after(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / (self.link_rate * self.link_share))
    }
}
