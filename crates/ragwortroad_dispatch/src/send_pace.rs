use std::time::Duration;

/// How much of one kind of message a registry may send at once, and when it may send the next.
///
/// A message is small for one edge and large for all of them. Written at once, it queues in
/// front of the link for seconds; heartbeats of the agreement, answers to callers who ask for
/// addresses and acknowledgements to endpoints wait behind it, and the others give the registry up
/// although it is well.
#[derive(Clone, Copy, Debug)]
pub struct SendPace {
    /// Bytes a second that the link carries.
    pub link_rate: f64,
    /// Part of the link that this kind may take in the long run.
    pub link_share: f64,
    /// Time for which one message to all may fill the link.
    pub max_burst: Duration,
}

/// Time between two messages with loads, and with places of texts.
///
/// An edge that does not know of a place yet finds the same one by its hash unless engines have come
/// or gone.
pub const SPREAD_INTERVAL: Duration = Duration::from_millis(200);

/// Part of a registry's link that loads may take.
///
/// Beyond it they come later, so that neither drains nor configurations do.
const LOADS_PART: f64 = 0.3;

/// Part of a registry's link that places of texts may take.
///
/// There are many only after a common restart, when edges that do not know them have texts read anew.
const PLACES_PART: f64 = 0.5;

/// Time for which one message with these, or whole configurations, may fill a registry's link.
///
/// Heartbeats and answers wait as long; of the leader's, a few may be late before an election.
const SPREAD_BURST: Duration = Duration::from_millis(100);

/// Part of a registry's link that whole configurations may take.
///
/// Edges ask for one after a start and serve nobody before they have it.
const CONFIGS_PART: f64 = 0.8;

/// Part of a registry's link that updates of endpoints may take where they can wait.
///
/// There is much of it only after a common restart, when loads and places of texts are few.
const UPDATES_PART: f64 = 0.6;

/// Time for which such updates may fill a registry's link.
///
/// A third of the time without a heartbeat after which members elect another leader.
const UPDATES_BURST: Duration = Duration::from_millis(250);

impl SendPace {
    /// The pace of loads.
    pub fn for_loads(link_rate: f64) -> Self {
        Self {
            link_rate,
            link_share: LOADS_PART,
            max_burst: SPREAD_BURST,
        }
    }

    /// The pace of places of texts.
    pub fn for_locations(link_rate: f64) -> Self {
        Self {
            link_share: PLACES_PART,
            ..Self::for_loads(link_rate)
        }
    }

    /// The pace of whole configurations.
    pub fn for_configs(link_rate: f64) -> Self {
        Self {
            link_share: CONFIGS_PART,
            ..Self::for_loads(link_rate)
        }
    }

    /// The pace of endpoints' updates that can wait.
    pub fn for_updates(link_rate: f64) -> Self {
        Self {
            link_rate,
            link_share: UPDATES_PART,
            max_burst: UPDATES_BURST,
        }
    }

    /// Items that each of `receivers` may be sent at once, at `item_bytes` each; one at least.
    pub fn max_batch_items(&self, receivers: usize, item_bytes: f64) -> usize {
        let bytes = self.link_rate * self.max_burst.as_secs_f64();
        let items = bytes / item_bytes / receivers.max(1) as f64;
        (items as usize).max(1)
    }

    /// Time until the next message after one of `bytes`, all receivers together.
    pub fn delay_after(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / (self.link_rate * self.link_share))
    }
}
