use std::{
    net::SocketAddr,
    time::Duration, //
};

use ragwortroad_types::prelude::*;

/// A node to ask first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeedNode {
    /// Its identity.
    pub node: NodeId,
    /// Its address for gossip.
    pub address: SocketAddr,
}

/// Time limits and budgets of [`MembershipTable`](crate::MembershipTable).
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSettings {
    /// Nodes to ask first.
    pub seeds: Vec<SeedNode>,
    /// Rings in which each node has two neighbours; the first keeps zones together.
    pub rings: u32,
    /// Longest silence towards a neighbour.
    pub heartbeat_interval: Duration,
    /// Silence of a neighbour after which it is asked, also through others.
    pub probe_after: Duration,
    /// Silence of a neighbour after which it is suspected.
    pub suspect_after: Duration,
    /// Time a suspected node has to speak up in a fleet of ten; grows with the logarithm of the
    /// fleet's size, as news needs more steps there.
    pub suspicion_timeout: Duration,
    /// Nodes asked to probe a silent neighbour.
    pub indirect_probe_count: usize,
    /// Time between calls to nodes that are down, or to seeds never heard of; each costs some
    /// handshake packets that nobody answers.
    pub reconnect_interval: Duration,
    /// Time between calls to any live node, which finds views that have grown apart; each costs a
    /// handshake.
    pub random_contact_interval: Duration,
    /// Time after which a node that is down is forgotten.
    pub forget_node_after: Duration,
    /// Time after which an endpoint that is gone is forgotten.
    pub forget_endpoint_after: Duration,
    /// Bytes a second this node may spend on news; urgent news may overdraw it.
    pub bytes_per_second: u32,
    /// Bytes that may be sent in one burst after a quiet time.
    pub burst_bytes: u32,
    /// Bytes counted for each packet beside its content: what QUIC, UDP and IP add, and the
    /// acknowledgement that QUIC sends for it.
    pub packet_overhead_bytes: u32,
    /// Largest packet.
    pub max_packet_bytes: usize,
    /// Time after which unacknowledged news is sent again.
    pub resend_after: Duration,
    /// Time after which unacknowledged urgent news is sent again.
    pub resend_urgent_after: Duration,
    /// Shortest time between two load reports of one endpoint to the fleet.
    pub min_load_interval: Duration,
    /// Time that two views must differ before they are compared in detail.
    pub sync_after: Duration,
    /// Time between announcements that endpoints are asked for.
    pub announce_interval: Duration,
    /// Silence after which the home takes an endpoint for gone.
    pub endpoint_timeout: Duration,
    /// Time a home may admit work after it answered an announcement that was followed by another.
    pub home_lease: Duration,
    /// How much faster or slower than true time any clock in the fleet may run, as a fraction.
    pub clock_drift: f64,
    /// Time a node must have been up before endpoints are asked to move to it.
    pub home_min_uptime: Duration,
    /// Shortest time a home keeps an endpoint before it asks it to move for balance.
    pub min_home_duration: Duration,
    /// A node may be home to this multiple of the mean number of endpoints, rounded up.
    pub home_balance_factor: f64,
    /// Restarts and returns of an endpoint, decayed, from which it gets no new work.
    pub flap_suppress_threshold: f64,
    /// Decayed restarts below which a damped endpoint gets work again.
    pub flap_reuse_threshold: f64,
    /// Time in which the count of restarts falls to half.
    pub flap_half_life: Duration,
    /// Largest blob a node may attach.
    pub max_blob_bytes: usize,
    /// Shortest time between two versions of one blob.
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
    /// Time a suspected node has in a fleet of `nodes`.
    pub(crate) fn suspicion_timeout_for(&self, nodes: usize) -> Duration {
        let growth = (nodes.max(10) as f64).log10();
        self.suspicion_timeout.mul_f64(growth)
    }

    /// Time a new home waits so that the former one's lease is over by any clock.
    ///
    /// The former home's clock may run slow and ours fast, each by the assumed drift.
    pub(crate) fn takeover_wait(&self) -> Duration {
        let drift = self.clock_drift.clamp(0.0, 0.5);
        let wait = self.home_lease.mul_f64((1.0 + drift) / (1.0 - drift));
        // Clock readings are whole milliseconds on both sides.
        wait + Duration::from_millis(2)
    }
}
