use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    time::Duration, //
};

use ragwortroad_consensus::prelude::*;
use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_routing::{
    CrashTable,
    PartSettings,
    PartTable, //
};
use ragwortroad_settings::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    consensus_driver::{
        ConsensusDriver,
        DriverEffect, //
    },
    edge_entry::EdgeEntry,
    indexed_read::IndexedRead,
    notice_batch::NoticeBatch,
    peer_entry::PeerEntry,
    queued_drain::QueuedDrain,
    queued_notice::QueuedNotice,
    queued_put::QueuedPut,
    queued_read::QueuedRead,
    registry_event::{
        LinkKey,
        RegistryEvent, //
    },
    registry_stores::RegistryStores,
    start_time::StartTime, //
};

/// Time between two rounds of periodic maintenance.
///
/// Queued calls are retried at this interval. Operators wait one second for a response.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);

/// State of a registry, owned by its control thread.
pub(crate) struct RegistryState {
    pub(crate) settings: ForwardSettings,
    pub(crate) driver: ConsensusDriver,
    pub(crate) table: RegistryTable,
    pub(crate) plan: VoterPlan,
    /// Losses that the group must bear.
    pub(crate) tolerance: LossTolerance,
    pub(crate) started_at: ClockTime,
    /// Time of day at which the process started, in Unix milliseconds.
    started_wall_ms: u64,
    pub(crate) discovery: EdgeDiscovery,
    /// Whether edges are told the version of the configuration.
    pub(crate) announces_config: bool,
    /// Outbound queues of connections accepted from edges, directories and registries.
    pub(crate) links: BTreeMap<LinkKey, LinkQueue>,
    pub(crate) edges: BTreeMap<LinkKey, EdgeEntry>,
    /// Connected directories.
    pub(crate) directories: BTreeSet<LinkKey>,
    /// The edge view last sent to the directories.
    pub(crate) sent_edges: EdgeView,
    /// Other registries, keyed by the address at which they listen for links.
    pub(crate) peers: BTreeMap<SocketAddr, PeerEntry>,
    /// Registries that are not dialled yet.
    pub(crate) undialled: BTreeSet<SocketAddr>,
    pub(crate) queued_puts: BTreeMap<u64, QueuedPut>,
    /// Token of the configuration whose proposal is in flight on this leader.
    pub(crate) proposed_put: Option<u64>,
    /// Whether the next configuration may be proposed, since the previous one was decided.
    pub(crate) is_proposal_due: bool,
    /// Drain orders that are not applied yet, keyed by order id.
    pub(crate) queued_drains: BTreeMap<u64, QueuedDrain>,
    /// Notices to be sent to the other registries.
    pub(crate) pending_notices: Vec<QueuedNotice>,
    /// Notices that too few other registries have acknowledged, keyed by token.
    pub(crate) notice_batches: BTreeMap<u64, NoticeBatch>,
    pub(crate) queued_reads: BTreeMap<u64, QueuedRead>,
    pub(crate) indexed_reads: Vec<IndexedRead>,
    pub(crate) next_token: u64,
    pub(crate) next_hello_at: ClockTime,
    pub(crate) next_plan_at: ClockTime,
    pub(crate) next_maintenance_at: ClockTime,
    /// When the state of the group is reported next.
    pub(crate) next_status_at: ClockTime,
    /// Since when no report has found a leader.
    pub(crate) leaderless_since: Option<ClockTime>,
    /// Endpoint updates to be sent to the edges.
    pub(crate) updates: UpdateQueue,
    /// When urgent updates may be sent next.
    pub(crate) next_urgent_updates_at: ClockTime,
    /// When other updates may be sent next.
    pub(crate) next_deferrable_updates_at: ClockTime,
    /// Edges that need a full configuration.
    pub(crate) copies: CopyQueue,
    /// When the next full configurations may be sent.
    pub(crate) next_copies_at: ClockTime,
    /// Registries at the other end of accepted connections.
    ///
    /// Invariant: each registry appears once, with its newest connection.
    pub(crate) peer_links: BTreeMap<LinkKey, SocketAddr>,
    /// Edges that use this registry as their home registry.
    pub(crate) subscribers: BTreeSet<LinkKey>,
    /// Requests in flight per endpoint, summed over the edges.
    pub(crate) totals: LoadTotals,
    /// Figures of endpoints that edges report with their loads.
    pub(crate) figures: FigureTotals,
    pub(crate) next_loads_at: ClockTime,
    /// Uses of services by customers, summed over the edges.
    pub(crate) customer_totals: CustomerTotals,
    pub(crate) next_customer_loads_at: ClockTime,
    /// Bytes of all kinds of paced messages together.
    pub(crate) link_account: LinkAccount,
    /// Prefix locations that the edges reported recently.
    pub(crate) locations: LocationLog,
    pub(crate) next_locations_at: ClockTime,
    /// Crashes of endpoints that edges observed under their requests.
    pub(crate) crashes: CrashTable,
    /// Parts of prompts under which endpoints crashed.
    pub(crate) parts: PartTable,
    /// Files of what must survive a loss of power, apart from the log.
    pub(crate) stores: RegistryStores,
    /// Registries that an earlier process knew, until they would have been heard of again.
    pub(crate) recalled_peers: BTreeSet<SocketAddr>,
    /// Registries in the file of peers.
    pub(crate) saved_peers: BTreeSet<SocketAddr>,
    /// Whether `parts` has changed since the last save.
    pub(crate) has_unsaved_parts: bool,
    pub(crate) next_crashes_at: ClockTime,
    /// Software versions that began the streams which edges have reported.
    pub(crate) origins: OriginTable,
    /// Whether the journal of `origins` may hold any.
    pub(crate) has_saved_origins: bool,
    /// Software versions that endpoints have run recently, and what of them is on disk.
    pub(crate) versions: VersionLedger,
    /// The versions that edges were last told to be kept here.
    pub(crate) sent_kept: BTreeSet<VersionTag>,
    /// Whether this registry voted and knew all versions that it had to keep, when last checked.
    pub(crate) was_complete: bool,
    /// When the other registries are told of all versions next.
    pub(crate) next_version_share_at: ClockTime,
    /// Edges that may keep the places of scarce services, as last selected.
    pub(crate) keepers: Vec<KeeperCandidate>,
    /// When they may be selected again.
    pub(crate) next_keepers_at: ClockTime,
    /// The fleet message last sent to the edges.
    pub(crate) sent_fleet: Option<LinkMessage>,
    pub(crate) next_fleet_at: ClockTime,
    /// Whether the process must stop.
    pub(crate) is_stopping: bool,
}

impl RegistryState {
    pub(crate) fn new(
        settings: ForwardSettings,
        driver: ConsensusDriver,
        stores: RegistryStores,
        started: StartTime,
    ) -> Self {
        let now = started.clock;
        let link_account = LinkAccount::new(settings.link_bytes_per_second());
        let tolerance = LossTolerance {
            disks: settings.tolerated_disk_losses,
        };
        let mut state = Self {
            table: RegistryTable::new(settings.announce_every),
            announces_config: !settings.mechanisms.recall,
            settings,
            driver,
            plan: VoterPlan {
                settings: VoterSettings {
                    tolerance,
                    ..VoterSettings::default()
                },
            },
            tolerance,
            started_at: now,
            started_wall_ms: started.wall_ms,
            discovery: EdgeDiscovery::new(now),
            links: BTreeMap::new(),
            edges: BTreeMap::new(),
            directories: BTreeSet::new(),
            sent_edges: EdgeView::default(),
            peers: BTreeMap::new(),
            undialled: BTreeSet::new(),
            queued_puts: BTreeMap::new(),
            proposed_put: None,
            is_proposal_due: false,
            queued_drains: BTreeMap::new(),
            pending_notices: Vec::new(),
            notice_batches: BTreeMap::new(),
            queued_reads: BTreeMap::new(),
            indexed_reads: Vec::new(),
            next_token: 0,
            next_hello_at: now,
            next_plan_at: now,
            next_maintenance_at: now,
            next_status_at: now,
            leaderless_since: None,
            updates: UpdateQueue::default(),
            next_urgent_updates_at: now,
            next_deferrable_updates_at: now,
            copies: CopyQueue::default(),
            next_copies_at: now,
            peer_links: BTreeMap::new(),
            subscribers: BTreeSet::new(),
            totals: LoadTotals::default(),
            figures: FigureTotals::default(),
            next_loads_at: now,
            customer_totals: CustomerTotals::default(),
            next_customer_loads_at: now,
            link_account,
            locations: LocationLog::new(now),
            next_locations_at: now,
            crashes: CrashTable::default(),
            parts: PartTable::new(PartSettings {
                // The edges have spread their reports already.
                write_interval: Duration::ZERO,
                ..PartSettings::default()
            }),
            stores,
            recalled_peers: BTreeSet::new(),
            saved_peers: BTreeSet::new(),
            has_unsaved_parts: false,
            next_crashes_at: now,
            origins: OriginTable::default(),
            has_saved_origins: true,
            versions: VersionLedger::new(now),
            sent_kept: BTreeSet::new(),
            was_complete: false,
            next_version_share_at: now,
            keepers: Vec::new(),
            next_keepers_at: now,
            sent_fleet: None,
            next_fleet_at: now,
            is_stopping: false,
        };
        state.track_seeds();
        state
    }

    /// Handles one event.
    pub(crate) fn handle(&mut self, event: RegistryEvent, now: ClockTime) {
        match event {
            RegistryEvent::Call {
                call,
                client_ip,
                reply,
            } => self.handle_call(call, client_ip, reply, now),
            RegistryEvent::LinkAccepted { link, queue } => {
                self.links.insert(link, queue);
            }
            RegistryEvent::PeerConnected { peer, queue } => self.attach_peer(peer, queue, now),
            RegistryEvent::Received { link, message } => self.handle_message(link, message, now),
            RegistryEvent::PeerReceived { peer, message } => {
                self.handle_peer_message(peer, message, now);
            }
            RegistryEvent::LinkClosed { link } => self.handle_link_closed(link),
            RegistryEvent::PeerDisconnected { peer } => {
                if let Some(entry) = self.peers.get_mut(&peer) {
                    entry.queue = None;
                }
                self.locations.drop_reader(LocationReader::Registry(peer));
                self.retry_forwarded_puts();
            }
            RegistryEvent::Folder(report) => {
                let had_core = self.driver.core().is_some();
                let effects = self.driver.handle_disk_report(report, now);
                if self.recalls() && !had_core && self.driver.core().is_some() {
                    // The others need the member behind this address to reply to its questions.
                    self.next_hello_at = now;
                }
                self.apply_effects(effects, now);
            }
            RegistryEvent::LocationsLoaded(locations) => {
                self.locations.add_stored(locations, now);
                // Edges connect while the disk is read. Half a second later they would have sent
                // these prompts to other engines.
                self.next_locations_at = now;
            }
            RegistryEvent::PartsLoaded(reports) => self.restore_parts(&reports, now),
            RegistryEvent::PeersLoaded(peers) => self.recall_peers(peers),
            RegistryEvent::Versions(report) => self.handle_version_report(report, now),
            RegistryEvent::OriginsLoaded(origins) => {
                for origin in origins {
                    self.origins.note(origin, now);
                }
            }
            RegistryEvent::SeedsChanged(seeds) => {
                self.settings.seeds = seeds;
                self.track_seeds();
            }
            RegistryEvent::Stop => self.stop(now),
        }
    }

    /// Does the work that is due and returns when more will be due.
    pub(crate) fn tick(&mut self, now: ClockTime) -> ClockTime {
        if self.driver.core().is_some_and(|core| now >= core.wake_at()) {
            let effects = self.driver.handle(CoreInput::Tick, now);
            self.apply_effects(effects, now);
        }
        if now >= self.next_maintenance_at {
            self.next_maintenance_at = now.after(MAINTENANCE_INTERVAL);
            self.retry_calls(now);
            self.report_group(now);
            self.start_announcing(now);
            self.expire_endpoints(now);
            self.expire_origins(now);
            self.expire_versions(now);
            self.broadcast_fleet(now);
            self.broadcast_edge_view();
            self.save_locations(now);
            self.save_parts(now);
            self.save_peers(now);
        }
        self.propose_due(now);
        self.send_notices(now);
        self.send_hellos(now);
        self.plan_voters(now);
        self.send_due_updates(now);
        self.send_paced(now);
        let paced = |next_at: ClockTime| next_at.max(self.link_account.free_at());
        let updates_wake = match (self.updates.has_urgent(), self.updates.has_deferrable()) {
            (true, _) => self.next_urgent_updates_at,
            (false, true) => paced(self.next_deferrable_updates_at),
            (false, false) => paced(self.next_loads_at),
        };
        let core_wake = self.driver.core().map(ConsensusCore::wake_at);
        let wake = core_wake
            .unwrap_or(self.next_maintenance_at)
            .min(self.next_hello_at);
        let wake = wake.min(updates_wake);
        let wake = match self.copies.is_empty() {
            true => wake,
            false => wake.min(paced(self.next_copies_at)),
        };
        if self.is_proposal_due {
            return now;
        }
        match self.has_no_queued_calls() {
            true => wake.min(paced(self.next_loads_at)),
            false => wake.min(self.next_maintenance_at),
        }
    }

    /// Whether no call waits for other registries.
    fn has_no_queued_calls(&self) -> bool {
        let has_no_orders = self.queued_puts.is_empty() && self.queued_drains.is_empty();
        let has_no_orders = has_no_orders && self.notice_batches.is_empty();
        has_no_orders && self.queued_reads.is_empty() && self.indexed_reads.is_empty()
    }

    /// Carries out effects of the consensus driver.
    pub(crate) fn apply_effects(&mut self, effects: Vec<DriverEffect>, now: ClockTime) {
        let mut has_changed = false;
        for effect in effects {
            match effect {
                DriverEffect::Send(frame) => self.send_frame(&frame),
                DriverEffect::Decided { token, result } => self.handle_decision(token, result, now),
                DriverEffect::ReadAt { token, index } => self.index_read(token, Some(index), now),
                DriverEffect::ReadFailed { token } => self.index_read(token, None, now),
                DriverEffect::MembersChanged => self.handle_members_changed(now),
                DriverEffect::ConfigChanged => has_changed = true,
                DriverEffect::DrainApplied { order, outcome } => {
                    self.handle_drain_applied(&order, outcome, now);
                }
                DriverEffect::DrainsRestored => self.broadcast_drains(),
            }
        }
        match self.announces_config {
            true if has_changed => self.broadcast_config_version(),
            true => {}
            false => self.start_announcing(now),
        }
        self.reply_to_applied_reads(now);
    }

    /// Whether this registry uses what disks remember until it knows more.
    pub(crate) fn recalls(&self) -> bool {
        self.settings.mechanisms.recall
    }

    /// Unix milliseconds according to the time of day at which this process started. Unlike the time
    /// of day it does not jump.
    pub(crate) fn wall_ms(&self, now: ClockTime) -> u64 {
        self.started_wall_ms + now.since(self.started_at).as_millis() as u64
    }

    pub(crate) fn new_token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    fn stop(&mut self, now: ClockTime) {
        tracing::info!("stopping");
        self.is_stopping = true;
        // Without a handover, the group has no leader until an election timeout has passed.
        let effects = self.driver.handle(CoreInput::TransferLeadership, now);
        self.apply_effects(effects, now);
    }
}
