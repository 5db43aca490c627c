use std::{
    net::SocketAddr,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

/// A node that is contacted in order to join the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeedNode {
    /// The seed's identity.
    pub node: NodeId,
    /// The seed's gossip address.
    pub address: SocketAddr,
}

/// Timeouts and budgets of a [`MembershipTable`](crate::MembershipTable).
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSettings {
    /// Nodes to contact in order to join the fleet.
    pub seeds: Vec<SeedNode>,
    /// Number of rings. A node has two neighbours in each; the first ring keeps the nodes of a zone
    /// adjacent.
    pub rings: u32,
    /// Maximum time without a packet to a neighbour.
    pub heartbeat_interval: Duration,
    /// Silence of a neighbour after which other nodes are asked to probe it.
    pub probe_after: Duration,
    /// Silence of a neighbour after which it is suspected.
    pub suspect_after: Duration,
    /// Time that a suspected node has to refute the suspicion in a fleet of up to ten nodes. It
    /// grows with the logarithm of the fleet's size, since updates need more hops in a larger
    /// fleet.
    pub suspicion_timeout: Duration,
    /// Number of nodes that are asked to probe a silent neighbour.
    pub indirect_probe_count: usize,
    /// Interval between attempts to contact nodes that are down or seeds that are not present. Each
    /// attempt may cost a few handshake packets that nobody answers.
    pub reconnect_interval: Duration,
    /// Interval between contacts to a random present node, which detect diverged views. Each costs
    /// a handshake.
    pub random_contact_interval: Duration,
    /// Time after which a node that is down is removed.
    pub forget_node_after: Duration,
    /// Time after which an endpoint that is gone, or whose home is down, is removed.
    pub forget_endpoint_after: Duration,
    /// Budget for updates in bytes per second. Every packet is charged to it, and urgent updates
    /// may overdraw it.
    pub bytes_per_second: u32,
    /// Bytes that may be sent in one burst after a quiet period.
    pub burst_bytes: u32,
    /// Bytes charged to the budget for each packet besides its content: the headers of QUIC, UDP
    /// and IP, and the acknowledgement that QUIC sends for it.
    pub packet_overhead_bytes: u32,
    /// Maximum size of a packet in bytes. A single item that is larger is still sent in a packet of
    /// its own.
    pub max_packet_bytes: usize,
    /// Time after which unacknowledged updates are sent again.
    pub resend_after: Duration,
    /// Time after which unacknowledged urgent updates are sent again.
    pub resend_urgent_after: Duration,
    /// Minimum interval between two published loads of one endpoint.
    pub min_load_interval: Duration,
    /// Time for which the digests of two nodes must differ before they are compared in detail.
    pub sync_after: Duration,
    /// Interval at which endpoints are asked to announce themselves.
    pub announce_interval: Duration,
    /// Time without an announcement after which the home considers an endpoint gone.
    pub endpoint_timeout: Duration,
    /// Length of a home lease. It starts when the home responds to an announcement, and takes
    /// effect once the next announcement confirms that the response arrived.
    pub home_lease: Duration,
    /// Maximum deviation of any clock in the fleet from true time, as a fraction.
    pub clock_drift: f64,
    /// Time that a node must have been up before endpoints are asked to move to it.
    pub home_min_uptime: Duration,
    /// Minimum time that a home keeps an endpoint before it asks the endpoint to move for better
    /// balance.
    pub min_home_duration: Duration,
    /// A node may be the home of this multiple of the mean number of endpoints per node, rounded
    /// up.
    pub home_balance_factor: f64,
    /// Flap penalty from which an endpoint gets no new work.
    pub flap_suppress_threshold: f64,
    /// Flap penalty below which a damped endpoint gets work again.
    pub flap_reuse_threshold: f64,
    /// Half-life of the flap penalty.
    pub flap_half_life: Duration,
    /// Maximum size in bytes of a blob that a node may publish.
    pub max_blob_bytes: usize,
    /// Minimum interval between two versions of one blob.
    pub min_blob_interval: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            rings: 2,
            heartbeat_interval: Duration::from_millis(1000),
            probe_after: Duration::from_millis(2500),
            suspect_after: Duration::from_millis(5000),
            suspicion_timeout: Duration::from_millis(5000),
            indirect_probe_count: 3,
            reconnect_interval: Duration::from_secs(30),
            random_contact_interval: Duration::from_secs(60),
            forget_node_after: Duration::from_secs(6 * 3600),
            forget_endpoint_after: Duration::from_secs(2 * 3600),
            bytes_per_second: 4096,
            burst_bytes: 16384,
            packet_overhead_bytes: 140,
            max_packet_bytes: 1100,
            resend_after: Duration::from_millis(2500),
            resend_urgent_after: Duration::from_millis(300),
            min_load_interval: Duration::from_millis(2000),
            sync_after: Duration::from_millis(4000),
            announce_interval: Duration::from_millis(1000),
            endpoint_timeout: Duration::from_millis(5000),
            home_lease: Duration::from_millis(3000),
            clock_drift: 0.01,
            home_min_uptime: Duration::from_secs(10),
            min_home_duration: Duration::from_secs(60),
            home_balance_factor: 1.5,
            flap_suppress_threshold: 3.0,
            flap_reuse_threshold: 1.0,
            flap_half_life: Duration::from_secs(60),
            max_blob_bytes: 512,
            min_blob_interval: Duration::from_secs(2),
        }
    }
}

impl MembershipSettings {
    /// Suspicion timeout in a fleet of `nodes` nodes.
    pub(crate) fn suspicion_timeout_for(&self, nodes: usize) -> Duration {
        let growth = (nodes.max(10) as f64).log10();
        self.suspicion_timeout.mul_f64(growth)
    }

    /// Time that a new home waits, so that the previous home's lease has ended by any clock.
    ///
    /// The previous home's clock may run slow and this node's fast, each by the maximum drift.
    pub(crate) fn takeover_wait(&self) -> Duration {
        let drift = self.clock_drift.clamp(0.0, 0.5);
        let wait = self.home_lease.mul_f64((1.0 + drift) / (1.0 - drift));
        // Clock readings are rounded to whole milliseconds on both sides.
        wait + Duration::from_millis(2)
    }
}
