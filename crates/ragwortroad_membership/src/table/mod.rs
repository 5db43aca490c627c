//! The membership table: one node's view of the fleet.

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

/// Interval between scans of all records.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// One node's view of all nodes and endpoints.
///
/// The code that owns the table passes in every event with the time at which it happens, and
/// carries out the returned actions. The same seed and the same inputs produce the same actions.
pub struct MembershipTable {
    settings: MembershipSettings,
    /// Identity of this node.
    own: NodeId,
    /// Sent to peers, so that they detect a restart of this node.
    session: u16,
    /// Whether this node is shutting down.
    leaving: bool,
    /// Time of the first input.
    started: Option<ClockTime>,
    /// All known nodes, including this one.
    nodes: NodeTable,
    endpoints: EndpointTable,
    /// The latest blobs of all nodes.
    blobs: BlobTable,
    /// Publication state of this node's blobs by kind.
    own_blobs: BTreeMap<u8, blobs::OwnBlob>,
    /// Links with neighbours and with other peers that packets were recently exchanged with.
    links: BTreeMap<NodeId, PeerLink>,
    /// Probes made on behalf of other nodes.
    relays: RelayTable,
    /// Hashes over all records.
    digest: SyncDigest,
    /// Claims to the endpoints that have announced themselves to this node.
    claims: BTreeMap<EndpointId, HomeClaim>,
    budget: ByteBudget,
    /// Index of the peer that the next flush serves first.
    round_robin_start: usize,
    /// Random number generator with a fixed seed.
    rng: Pcg64Mcg,
    /// Generation of the node table for which the neighbours were last chosen; `None` forces a new
    /// choice.
    ring_generation: Option<u64>,
    /// When the neighbours were last chosen.
    ring_chosen: ClockTime,
    /// When a node that is down, or an absent seed, was last contacted.
    last_reconnect: ClockTime,
    /// When a random present node was last contacted.
    last_random_contact: ClockTime,
    /// When all records were last scanned.
    last_maintenance: ClockTime,
    stats: MembershipStats,
    /// Actions produced by the current input.
    actions: Vec<GossipAction>,
}

impl MembershipTable {
    /// Creates a table that only knows `record`, this node's own.
    ///
    /// The record's incarnation should be higher than at the last start of the process; a wall clock
    /// reading in milliseconds will do. If it is lower, the node raises it once it receives a
    /// record of itself from an earlier run.
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

    /// Processes one input at `now` and returns the resulting actions.
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

    /// Sets the timers that start with the first input.
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

    /// Performs all actions that depend on time alone.
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
