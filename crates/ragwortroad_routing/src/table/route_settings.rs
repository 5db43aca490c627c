use std::time::Duration;

use ragwortroad_types::NodeId;

use crate::{
    LoadBound,
    OutlierSettings,
    ZoneKey, //
};

/// What a [`RouteTable`](crate::RouteTable) is made from.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSettings {
    /// The node that decides.
    pub node: NodeId,
    /// The node's own failure domain.
    pub zone: ZoneKey,
    /// The bound no endpoint may pass.
    pub bound: LoadBound,
    /// How far the mean may fall after an admission without putting it above the bound, in standard
    /// deviations of the mean.
    pub mean_margin: f64,
    /// Requests an endpoint may hold, as a multiple of its capacity; the part above 1 is its queue.
    pub queue_multiple: f64,
    /// Share of an endpoint's room kept for customers that use less than an equal part of it.
    pub fair_reserve: f64,
    /// The block of the prompt whose prefix key stands for a shared text (a school's plan).
    pub shared_prefix_block: usize,
    /// Engines among which the chats of one shared text are spread, while they have room.
    pub shared_prefix_engines: usize,
    /// Whether a chat that nothing is known of goes to the less loaded of its two best places.
    pub two_choices: bool,
    /// Chats whose last place a node remembers.
    pub chat_entries: usize,
    /// Prefixes whose place a node remembers from the cache events of its own engines.
    pub prefix_entries: usize,
    /// Longest time a chat waits for room where its context is.
    pub max_context_wait: Duration,
    /// The part of that time that each block of its prompt is worth, which is about what computing
    /// the block anew would take.
    pub context_wait_per_block: Duration,
    /// Longest time any request waits for room anywhere before it is refused.
    pub max_capacity_wait: Duration,
    /// Time between two looks at a full place of this node's own.
    pub hold_interval: Duration,
    /// Longest time for which a home that answered "full" is not asked again.
    pub full_backoff: Duration,
    /// How long slots of a node that is gone stay counted_load, since its requests may still run.
    pub lost_node_slot_ttl: Duration,
    /// How long the slot of a failed request stays counted_load, so that an endpoint which fails fast
    /// looks as busy as one that works.
    pub failed_slot_ttl: Duration,
    /// Longest life of a slot that is never given back.
    pub slot_ttl: Duration,
    /// When endpoints are set aside.
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
