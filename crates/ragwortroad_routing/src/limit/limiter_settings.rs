use std::time::Duration;

use ragwortroad_types::NodeId;

/// What a [`CustomerLimiter`](crate::CustomerLimiter) is made from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimiterSettings {
    /// The node it limits for.
    pub node: NodeId,
    /// Part of each limit that is divided evenly among all nodes, so that a node which a customer
    /// just came to may serve it before the coordinator has heard of it.
    pub even_share: f64,
    /// Seconds of a rate that may be used at once.
    pub burst_s: f64,
    /// Requests every node lets pass at once, however small its share. A customer that comes anew
    /// to all nodes together may once exceed its limit by this for each node.
    pub min_burst: f64,
    /// Part of a limit by which a node's demand must differ from what its coordinator knows to be last_sent
    /// before `tell_every` is over.
    pub resend_change: f64,
    /// Time between two digests to a coordinator, or shares to a node, that next_demand nothing new.
    pub resend_interval: Duration,
    /// How long a coordinator's share is good for.
    pub share_ttl: Duration,
    /// How long a node's demand counts at the coordinator after its last digest.
    ///
    /// Invariant: longer than `share_life`, or the coordinator would give to others what a node that
    /// went silent may still use.
    pub demand_ttl: Duration,
    /// Time over which demand is averaged.
    pub demand_window: Duration,
}

impl Default for LimiterSettings {
    fn default() -> Self {
        Self {
            node: NodeId::default(),
            even_share: 0.2,
            burst_s: 5.0,
            min_burst: 3.0,
            resend_change: 0.05,
            resend_interval: Duration::from_secs(4),
            share_ttl: Duration::from_secs(10),
            demand_ttl: Duration::from_secs(15),
            demand_window: Duration::from_secs(5),
        }
    }
}
