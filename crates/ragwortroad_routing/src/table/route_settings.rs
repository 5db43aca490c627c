use std::time::Duration;

use ragwortroad_types::NodeId;

use crate::{
    LoadBound,
    OutlierSettings,
    ZoneKey, //
};

/// Settings of a [`RouteTable`](crate::RouteTable).
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSettings {
    /// The node on which the table decides.
    pub node: NodeId,
    /// The node's own failure domain.
    pub zone: ZoneKey,
    /// The bound that no endpoint may exceed.
    pub bound: LoadBound,
    /// How far the mean may fall after an admission without the load exceeding the bound, in
    /// standard deviations of the mean.
    pub mean_margin: f64,
    /// Most requests at an endpoint as a multiple of its capacity; the part above 1 is its queue.
    pub queue_multiple: f64,
    /// Fraction of an endpoint's capacity and queue that is reserved for customers with less than
    /// an equal share.
    pub fair_reserve: f64,
    /// Index, counted from 1, of the prompt block whose prefix key identifies a shared prefix (a
    /// school's lesson plan); 0 for none.
    pub shared_prefix_block: usize,
    /// Engines among which the chats of one shared prefix are distributed while they have capacity.
    pub shared_prefix_engines: usize,
    /// Whether a chat without known context goes to the less loaded of its two best endpoints.
    pub two_choices: bool,
    /// Chats whose last endpoint a node stores.
    pub chat_entries: usize,
    /// Prefixes whose endpoint a node stores from the cache events of its own engines.
    pub prefix_entries: usize,
    /// Longest time that a chat waits for capacity at the endpoint with its context.
    pub max_context_wait: Duration,
    /// Wait for context that each block of the prompt justifies, about the time to recompute the
    /// block.
    pub context_wait_per_block: Duration,
    /// Longest time that any request waits for capacity before it is refused.
    pub max_capacity_wait: Duration,
    /// Interval at which a full endpoint of this node is checked again.
    pub hold_interval: Duration,
    /// Longest time for which a home is not asked again after it answered that the endpoint is
    /// full.
    pub full_backoff: Duration,
    /// How long the slots of a lost node stay counted, since its requests may still run.
    pub lost_node_slot_ttl: Duration,
    /// How long the slot of a failed request stays counted, so that an endpoint that fails fast
    /// looks as busy as a working one.
    pub failed_slot_ttl: Duration,
    /// Longest lifetime of a slot that is never released.
    pub slot_ttl: Duration,
    /// When endpoints are ejected for failures.
    pub outliers: OutlierSettings,
}

impl Default for RouteSettings {
    fn default() -> Self {
        Self {
            node: NodeId::default(),
            zone: ZoneKey::default(),
            bound: LoadBound::default(),
            mean_margin: 1.2,
            queue_multiple: 1.25,
            fair_reserve: 0.2,
            shared_prefix_block: 8,
            shared_prefix_engines: 2,
            two_choices: true,
            chat_entries: 64 * 1024,
            prefix_entries: 64 * 1024,
            max_context_wait: Duration::from_millis(500),
            context_wait_per_block: Duration::from_millis(25),
            max_capacity_wait: Duration::from_millis(600),
            hold_interval: Duration::from_millis(20),
            full_backoff: Duration::from_millis(250),
            lost_node_slot_ttl: Duration::from_secs(5),
            failed_slot_ttl: Duration::from_secs(2),
            slot_ttl: Duration::from_secs(600),
            outliers: OutlierSettings::default(),
        }
    }
}
