use std::time::Duration;

/// How much a registry may tell of one kind at once, and when it may tell the next.
///
/// What every edge is told is small for one of them and large for all. Written at once, it queues in
/// front of the link for seconds; heartbeats of the agreement, answers to callers who ask for
/// addresses and acknowledgements to endpoints wait behind it, and the others give the registry up
/// although it is well.
#[derive(Clone, Copy, Debug)]
pub struct TellingPace {
    /// Bytes a second that the link carries.
    pub link_rate: f64,
    /// Part of the link that this kind may take in the long run.
    pub part: f64,
    /// Time for which one telling may fill the link.
    pub longest_burst: Duration,
}

/// Time between two tellings of what edges have under way, and of where texts are read.
///
/// An edge that does not know of a place yet finds the same one by its hash unless engines have come
/// or gone.
pub const SPREAD_EVERY: Duration = Duration::from_millis(200);

/// Part of a registry's link that loads may take.
///
/// Beyond it they come later, so that neither drains nor configurations do.
const LOADS_PART: f64 = 0.3;

/// Part of a registry's link that places of texts may take.
///
/// There are many only after a common restart, when edges that do not know them have texts read anew.
const PLACES_PART: f64 = 0.5;

/// Time for which one telling of these, or whole configurations, may fill a registry's link.
///
/// Heartbeats and answers wait as long; of the leader's, a few may be late before an election.
const SPREAD_BURST: Duration = Duration::from_millis(100);

/// Part of a registry's link that whole configurations may take.
///
/// Edges ask for one after a start and serve nobody before they have it.
const CONFIGS_PART: f64 = 0.8;

/// Part of a registry's link that news of endpoints may take where it can wait.
///
/// There is much of it only after a common restart, when loads and places of texts are few.
const NEWS_PART: f64 = 0.6;

/// Time for which a telling of that news may fill a registry's link.
///
/// A third of the time without a heartbeat after which members elect another leader.
const NEWS_BURST: Duration = Duration::from_millis(250);

impl TellingPace {
    /// The pace of loads.
    pub fn of_loads(link_rate: f64) -> Self {
        Self {
            link_rate,
            part: LOADS_PART,
            longest_burst: SPREAD_BURST,
        }
    }

    /// The pace of places of texts.
    pub fn of_places(link_rate: f64) -> Self {
        Self {
            part: PLACES_PART,
            ..Self::of_loads(link_rate)
        }
    }

    /// The pace of whole configurations.
    pub fn of_configs(link_rate: f64) -> Self {
        Self {
            part: CONFIGS_PART,
            ..Self::of_loads(link_rate)
        }
    }

    /// The pace of endpoints' news that can wait.
    pub fn of_news(link_rate: f64) -> Self {
        Self {
            link_rate,
            part: NEWS_PART,
            longest_burst: NEWS_BURST,
        }
    }

    /// Items that each of `receivers` may be told at once, at `item_bytes` each; one at least.
    pub fn items_at_once(&self, receivers: usize, item_bytes: f64) -> usize {
        let bytes = self.link_rate * self.longest_burst.as_secs_f64();
        let items = bytes / item_bytes / receivers.max(1) as f64;
        (items as usize).max(1)
    }

    /// Time until the next telling after one of `bytes`, all receivers together.
    pub fn span(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / (self.link_rate * self.part))
    }
}
