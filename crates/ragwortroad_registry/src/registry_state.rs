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
use ragwortroad_settings::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    drain_wait::DrainWait,
    edge_entry::EdgeEntry,
    group_seat::{
        GroupSeat,
        SeatEffect, //
    },
    peer_entry::PeerEntry,
    place_keeper::PlaceKeeper,
    put_wait::PutWait,
    read_settle::ReadSettle,
    read_wait::ReadWait,
    registry_event::{
        LinkKey,
        RegistryEvent, //
    }, //
};

/// Time between two rounds of what is done from time to time.
///
/// Waiting calls are tried again at this pace; an operator waits a second for an answer.
const ROUND_TIME: Duration = Duration::from_millis(100);

/// All that a registry knows, on its control thread.
pub(crate) struct RegistryState {
    pub(crate) settings: ForwardSettings,
    pub(crate) seat: GroupSeat,
    pub(crate) table: RegistryTable,
    pub(crate) plan: VoterPlan,
    pub(crate) started_at: ClockTime,
    pub(crate) gathering: EdgeDiscovery,
    /// Connections that were accepted, by edges and registries.
    pub(crate) links: BTreeMap<LinkKey, LinkQueue>,
    pub(crate) edges: BTreeMap<LinkKey, EdgeEntry>,
    /// Directories that are connected.
    pub(crate) directories: BTreeSet<LinkKey>,
    /// What they know of the edges.
    pub(crate) sent_edges: EdgeView,
    /// Registries, by where they listen.
    pub(crate) peers: BTreeMap<SocketAddr, PeerEntry>,
    /// Registries that are still to be dialled.
    pub(crate) undialled: BTreeSet<SocketAddr>,
    pub(crate) puts: BTreeMap<u64, PutWait>,
    /// The configuration whose entry is under way, on the leader.
    pub(crate) proposed: Option<u64>,
    /// Drain orders that are not applied yet, by their ids.
    pub(crate) drain_waits: BTreeMap<u64, DrainWait>,
    pub(crate) reads: BTreeMap<u64, ReadWait>,
    pub(crate) settles: Vec<ReadSettle>,
    pub(crate) next_token: u64,
    pub(crate) hello_at: ClockTime,
    pub(crate) plan_at: ClockTime,
    pub(crate) round_at: ClockTime,
    /// What was heard from endpoints and the edges are still to be told.
    pub(crate) updates: UpdateQueue,
    /// When updates that cannot wait are sent next.
    pub(crate) updates_at: ClockTime,
    /// When other updates are sent next.
    pub(crate) calm_updates_at: ClockTime,
    /// Edges that need a whole configuration.
    pub(crate) copies: CopyQueue,
    /// When the next of them get one.
    pub(crate) copies_at: ClockTime,
    /// Registries at the other ends of connections that were accepted.
    ///
    /// Invariant: each registry once, at its newest connection.
    pub(crate) peer_links: BTreeMap<LinkKey, SocketAddr>,
    /// Edges whose home this registry is.
    pub(crate) subscribers: BTreeSet<LinkKey>,
    /// What the edges have under way.
    pub(crate) totals: LoadTotals,
    pub(crate) totals_at: ClockTime,
    /// Where edges have placed texts lately.
    pub(crate) places: LocationLog,
    pub(crate) keeper: PlaceKeeper,
    pub(crate) places_at: ClockTime,
    /// What edges were told last of the fleet.
    pub(crate) told_fleet: Option<LinkMessage>,
    pub(crate) fleet_at: ClockTime,
    /// Whether the process is to stop.
    pub(crate) is_stopping: bool,
}

impl RegistryState {
    pub(crate) fn new(
        settings: ForwardSettings,
        seat: GroupSeat,
        keeper: PlaceKeeper,
        now: ClockTime,
    ) -> Self {
        let mut state = Self {
            table: RegistryTable::new(settings.announce_every),
            settings,
            seat,
            plan: VoterPlan::default(),
            started_at: now,
            gathering: EdgeDiscovery::new(now),
            links: BTreeMap::new(),
            edges: BTreeMap::new(),
            directories: BTreeSet::new(),
            sent_edges: EdgeView::default(),
            peers: BTreeMap::new(),
            undialled: BTreeSet::new(),
            puts: BTreeMap::new(),
            proposed: None,
            drain_waits: BTreeMap::new(),
            reads: BTreeMap::new(),
            settles: Vec::new(),
            next_token: 0,
            hello_at: now,
            plan_at: now,
            round_at: now,
            updates: UpdateQueue::default(),
            updates_at: now,
            calm_updates_at: now,
            copies: CopyQueue::default(),
            copies_at: now,
            peer_links: BTreeMap::new(),
            subscribers: BTreeSet::new(),
            totals: LoadTotals::default(),
            totals_at: now,
            places: LocationLog::new(now),
            keeper,
            places_at: now,
            told_fleet: None,
            fleet_at: now,
            is_stopping: false,
        };
        state.learn_seeds();
        state
    }

    /// Takes one event.
    pub(crate) fn handle(&mut self, event: RegistryEvent, now: ClockTime) {
        match event {
            RegistryEvent::Call { call, asker, reply } => self.take_call(call, asker, reply, now),
            RegistryEvent::Accepted { link, queue } => {
                self.links.insert(link, queue);
            }
            RegistryEvent::Reached { peer, queue } => self.reach_peer(peer, queue, now),
            RegistryEvent::Said { link, message } => self.take_message(link, message, now),
            RegistryEvent::PeerSaid { message, .. } => self.take_peer_message(message, now),
            RegistryEvent::Ended { link } => self.end_link(link),
            RegistryEvent::Unreached { peer } => {
                if let Some(entry) = self.peers.get_mut(&peer) {
                    entry.queue = None;
                }
                self.places.drop_reader(LocationReader::Registry(peer));
                self.pass_on_again();
            }
            RegistryEvent::Folder(report) => {
                let effects = self.seat.take_report(report, now);
                self.carry_out(effects, now);
            }
            RegistryEvent::PlacesFound(places) => {
                self.places.add_stored(places, now);
                // Edges connect while the disk is read. Told half a second later, they would have
                // sent texts to other engines meanwhile.
                self.places_at = now;
            }
            RegistryEvent::Seeds(seeds) => {
                self.settings.seeds = seeds;
                self.learn_seeds();
            }
            RegistryEvent::Stop => self.stop(now),
        }
    }

    /// Does what is due by now; returns when something is due next.
    pub(crate) fn tick(&mut self, now: ClockTime) -> ClockTime {
        if self.seat.core().is_some_and(|core| now >= core.wake_at()) {
            let effects = self.seat.handle(CoreInput::Tick, now);
            self.carry_out(effects, now);
        }
        if now >= self.round_at {
            self.round_at = now.after(ROUND_TIME);
            self.retry_calls(now);
            self.expire_endpoints(now);
            self.send_fleet(now);
            self.send_edges();
            self.keep_places(now);
        }
        self.say_hello(now);
        self.plan_voters(now);
        self.give_copies(now);
        self.send_updates(now);
        self.send_loads(now);
        self.send_places(now);
        let updates_wake = match (self.updates.has_urgent(), self.updates.has_deferrable()) {
            (true, _) => self.updates_at,
            (false, true) => self.calm_updates_at,
            (false, false) => self.totals_at,
        };
        let core_wake = self.seat.core().map(ConsensusCore::wake_at);
        let wake = core_wake.unwrap_or(self.round_at).min(self.hello_at);
        let wake = wake.min(updates_wake);
        let wake = match self.copies.is_empty() {
            true => wake,
            false => wake.min(self.copies_at),
        };
        match self.has_no_waits() {
            true => wake.min(self.totals_at),
            false => wake.min(self.round_at),
        }
    }

    /// Whether no call waits for the group.
    fn has_no_waits(&self) -> bool {
        let has_no_orders = self.puts.is_empty() && self.drain_waits.is_empty();
        has_no_orders && self.reads.is_empty() && self.settles.is_empty()
    }

    /// Does what the group wants done.
    pub(crate) fn carry_out(&mut self, effects: Vec<SeatEffect>, now: ClockTime) {
        let mut has_changed = false;
        for effect in effects {
            match effect {
                SeatEffect::Send(frame) => self.send_frame(&frame),
                SeatEffect::Decided { token, result } => self.decide_put(token, result, now),
                SeatEffect::Readable { token, index } => self.prove_read(token, Some(index), now),
                SeatEffect::Unreadable { token } => self.prove_read(token, None, now),
                SeatEffect::ConfigChanged => has_changed = true,
                SeatEffect::DrainApplied { order, outcome } => {
                    self.follow_drain(&order, outcome, now);
                }
                SeatEffect::DrainsRestored => self.send_drains(),
            }
        }
        if has_changed {
            self.announce_version();
        }
        self.settle_reads(now);
    }

    pub(crate) fn draw_token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    fn stop(&mut self, now: ClockTime) {
        tracing::info!("stopping");
        self.is_stopping = true;
        // Without a handover the group has no leader until an election timeout has passed.
        let effects = self.seat.handle(CoreInput::TransferLeadership, now);
        self.carry_out(effects, now);
    }
}
