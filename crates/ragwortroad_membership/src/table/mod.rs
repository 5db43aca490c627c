//! One node's view of the fleet, and what it does about it.

mod announcements;
mod blobs;
mod endpoint_updates;
mod home_placement;
mod homes;
mod links;
pub(crate) mod membership_stats;
mod node_updates;
mod packets;
mod probes;
mod queries;
mod sync;
mod update_items;

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use ragwortroad_types::prelude::*;
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

use crate::{
    GossipAction,
    GossipInput,
    MembershipSettings,
    MembershipStats,
    NodeRecord,
    blob_table::BlobTable,
    byte_budget::ByteBudget,
    endpoint_table::EndpointTable,
    home_claim::HomeClaim,
    node_table::NodeTable,
    peer_link::PeerLink,
    relay_table::RelayTable,
    sync_digest::SyncDigest, //
};

/// Time between looking through all records.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// One node's view of all nodes and endpoints.
///
/// The owner passes in everything that happens with the time it happens at, and carries out the
/// returned actions. The same seed and the same inputs give the same actions.
pub struct MembershipTable {
    /// Limits.
    settings: MembershipSettings,
    /// This node.
    own: NodeId,
    /// Told to peers, so that they notice a restart.
    session: u16,
    /// Whether this node is shutting down.
    leaving: bool,
    /// The time of the first input.
    started: Option<ClockTime>,
    /// All nodes, this one included.
    nodes: NodeTable,
    /// All endpoints.
    endpoints: EndpointTable,
    /// What nodes attached.
    blobs: BlobTable,
    /// Own blobs that wait for their spacing: kind, and when it was last spread.
    own_blobs: BTreeMap<u8, blobs::OwnBlob>,
    /// Peers with whom something is exchanged.
    links: BTreeMap<NodeId, PeerLink>,
    /// Probes made for others.
    relays: RelayTable,
    /// Hashes over all records.
    digest: SyncDigest,
    /// Endpoints that announced themselves here.
    claims: BTreeMap<EndpointId, HomeClaim>,
    /// Bytes left to spend.
    budget: ByteBudget,
    /// Which peer is served first, by its place among the links.
    round_robin_start: usize,
    /// Seeded randomness.
    rng: Pcg64Mcg,
    /// State of the node table for which neighbours were last chosen.
    ring_generation: Option<u64>,
    /// When neighbours were last chosen.
    ring_chosen: ClockTime,
    /// When a node that is down, or a seed, was last called.
    last_reconnect: ClockTime,
    /// When a random live node was last called.
    last_random_contact: ClockTime,
    /// When all records were last looked through.
    last_maintenance: ClockTime,
    /// Counters.
    stats: MembershipStats,
    /// Actions of the input at hand.
    actions: Vec<GossipAction>,
}

impl MembershipTable {
    /// A view that knows only `record`, this node's own.
    ///
    /// The record's incarnation should be higher than at the process's last start, such as the
    /// wall clock's milliseconds; if it is not, the node corrects it when it hears of itself.
    pub fn new(settings: MembershipSettings, record: NodeRecord, seed: u64) -> Self {
        let own = record.id();
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ own.0);
        let mut table = Self {
            own,
            session: rng.random_range(1..=u16::MAX),
            leaving: false,
            started: None,
            nodes: NodeTable::default(),
            endpoints: EndpointTable::default(),
            blobs: BlobTable::default(),
            own_blobs: BTreeMap::new(),
            links: BTreeMap::new(),
            relays: RelayTable::default(),
            digest: SyncDigest::default(),
            claims: BTreeMap::new(),
            budget: ByteBudget::new(settings.bytes_per_second, settings.burst_bytes),
            round_robin_start: 0,
            rng,
            ring_generation: None,
            ring_chosen: ClockTime::ZERO,
            last_reconnect: ClockTime::ZERO,
            last_random_contact: ClockTime::ZERO,
            last_maintenance: ClockTime::ZERO,
            stats: MembershipStats::default(),
            actions: Vec::new(),
            settings,
        };
        table.put_node(record, ClockTime::ZERO);
        table
    }

    /// Takes one input at `now`, and returns what is to be done.
    pub fn handle(&mut self, input: GossipInput, now: ClockTime) -> Vec<GossipAction> {
        if self.started.is_none() {
            self.start(now);
        }
        match input {
            GossipInput::Tick => self.tick(now),
            GossipInput::Packet { from, bytes } => self.handle_packet(from, &bytes, now),
            GossipInput::Announce(announce) => self.handle_announcement(&announce, now),
            GossipInput::LeaveStarted => self.start_leaving(now),
        }
        self.flush(now);
        std::mem::take(&mut self.actions)
    }

    /// Sets everything that counts from the first input.
    fn start(&mut self, now: ClockTime) {
        self.started = Some(now);
        self.last_random_contact = now;
        self.last_reconnect = now;
        self.budget.refill(now);
        if let Some(record) = self.nodes.record(self.own).cloned() {
            self.nodes.remove(self.own);
            self.put_node(record, now);
        }
    }

    /// Does everything that time alone brings about.
    fn tick(&mut self, now: ClockTime) {
        self.choose_neighbours(now);
        self.probe_silent_neighbours(now);
        self.expire_suspicions(now);
        self.contact_non_neighbours(now);
        self.requeue_lost(now);
        self.start_syncs(now);
        self.update_claims(now);
        self.publish_blobs(now);
        if now.since(self.last_maintenance) >= MAINTENANCE_INTERVAL {
            self.last_maintenance = now;
            self.expire_orphans(now);
            self.remove_expired(now);
        }
    }
}
