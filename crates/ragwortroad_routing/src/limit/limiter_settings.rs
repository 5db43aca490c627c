use std::time::Duration;

use ragwortroad_types::NodeId;

/// Settings of a [`CustomerLimiter`](crate::CustomerLimiter).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimiterSettings {
    /// The node on which the limiter runs.
    pub node: NodeId,
    /// Fraction of each limit that is divided evenly among all nodes, so that a node can serve a
    /// new customer before the coordinator has heard of the demand.
    pub even_share: f64,
    /// Seconds' worth of a rate that may be used in one burst.
    pub burst_s: f64,
    /// Requests that every node admits in one burst, however small its share. A customer that is
    /// new at all nodes may once exceed its limit by this number at each node.
    pub min_burst: f64,
    /// Fraction of a limit by which a demand must differ from the one last sent, to be sent before
    /// `resend_interval` has passed.
    pub resend_change: f64,
    /// Time after which an unchanged demand or share is sent again.
    pub resend_interval: Duration,
    /// How long a share from the coordinator is valid.
    pub share_ttl: Duration,
    /// How long a coordinator counts a node's demand after the node's last digest.
    ///
    /// Invariant: longer than `share_ttl`. Otherwise the coordinator would assign to others what an
    /// unresponsive node may still use.
    pub demand_ttl: Duration,
    /// Time constant of the moving average of demand.
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
