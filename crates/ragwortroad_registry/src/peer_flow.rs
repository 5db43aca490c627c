//! Handles the links to other registries, and the messages that arrive on links.

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
use ragwortroad_types::prelude::*;

use crate::{
    edge_entry::EdgeEntry,
    peer_entry::PeerEntry,
    put_origin::PutOrigin,
    read_origin::ReadOrigin,
    registry_event::LinkKey,
    registry_state::RegistryState, //
};

/// Time between two hellos to each registry.
///
/// Hellos tell the leader which registries can become voters. That information may be seconds old.
const HELLO_INTERVAL: Duration = Duration::from_secs(1);

/// Time between hellos while the group is not formed. It is shorter because the first configuration
/// waits for the group.
const FORMING_HELLO_INTERVAL: Duration = Duration::from_millis(150);

/// Minimum time between two looks for a voter change. A change that was committed is followed by the
/// next one at once: until the last of them, the group bears fewer losses.
const VOTER_PLAN_INTERVAL: Duration = Duration::from_millis(50);

/// Time without a hello after which a registry is no longer reported to others.
const PEER_EXPIRY: Duration = Duration::from_secs(30);

impl RegistryState {
    /// Adds the registries from the settings to the peers to dial.
    pub(crate) fn track_seeds(&mut self) {
        let port = self.settings.inner.port();
        let seeds = self.settings.seeds.clone();
        for seed in seeds {
            self.track_peer(SocketAddr::new(seed.ip(), port));
        }
    }

    fn track_peer(&mut self, peer: SocketAddr) {
        if peer != self.settings.inner && !self.peers.contains_key(&peer) {
            self.peers.insert(peer, PeerEntry::default());
            self.undialled.insert(peer);
        }
    }

    /// Dials the registries that an earlier process knew.
    ///
    /// After a loss of power all registries would otherwise have to wait for those from the settings
    /// to learn of each other.
    pub(crate) fn recall_peers(&mut self, peers: Vec<SocketAddr>) {
        for &peer in &peers {
            self.track_peer(peer);
        }
        self.saved_peers.extend(&peers);
        self.recalled_peers.extend(&peers);
    }

    /// Saves the addresses of the other registries if they have changed.
    pub(crate) fn save_peers(&mut self, now: ClockTime) {
        if now.since(self.started_at) >= PEER_EXPIRY {
            self.recalled_peers.clear();
        }
        let Some(store) = &self.stores.peers else {
            return;
        };
        let known: BTreeSet<SocketAddr> = self.known_registries(now).into_iter().collect();
        if known != self.saved_peers && store.save(known.iter().copied().collect()) {
            self.saved_peers = known;
        }
    }

    pub(crate) fn attach_peer(&mut self, peer: SocketAddr, queue: LinkQueue, now: ClockTime) {
        let hello = self.own_hello(now);
        queue.send(&LinkMessage::MemberHello(hello));
        self.share_leaving(&queue, now);
        queue.send(&self.known_versions_message(now));
        self.start_sharing_with(peer, &queue, now);
        let entry = self.peers.entry(peer).or_default();
        entry.queue = Some(queue);
        let hello = entry.hello.as_ref();
        if let Some(member) = hello.and_then(|(hello, _)| hello.member).map(MemberId) {
            let effects = self.driver.handle(CoreInput::PeerConnected { member }, now);
            self.apply_effects(effects, now);
        }
    }

    fn own_hello(&self, now: ClockTime) -> MemberHello {
        self.driver
            .hello(self.settings.inner, self.known_registries(now))
    }

    /// Registries that sent a hello recently, that were recalled, or that are named in the settings,
    /// including this one.
    pub(crate) fn known_registries(&self, now: ClockTime) -> Vec<SocketAddr> {
        let port = self.settings.inner.port();
        let is_seed = |peer: &SocketAddr| {
            let seeds = self.settings.seeds.iter();
            seeds.clone().any(|seed| peer.ip() == seed.ip()) && peer.port() == port
        };
        let is_heard = |entry: &PeerEntry| {
            let hello = entry.hello.as_ref();
            hello.is_some_and(|(_, heard_at)| now.since(*heard_at) < PEER_EXPIRY)
        };
        let peers = self.peers.iter();
        let is_recalled = |peer: &SocketAddr| self.recalled_peers.contains(peer);
        let known =
            peers.filter(|(peer, entry)| is_seed(peer) || is_heard(entry) || is_recalled(peer));
        let known = known.map(|(peer, _)| *peer);
        known.chain([self.settings.inner]).collect()
    }

    pub(crate) fn send_hellos(&mut self, now: ClockTime) {
        if now < self.next_hello_at {
            return;
        }
        let is_formed = self.driver.applied() > 0;
        self.next_hello_at = now.after(match is_formed {
            true => HELLO_INTERVAL,
            false => FORMING_HELLO_INTERVAL,
        });
        let hello = LinkMessage::MemberHello(self.own_hello(now));
        for queue in self.peers.values().filter_map(|peer| peer.queue.as_ref()) {
            queue.send(&hello);
        }
    }

    /// Handles a message that arrived on an accepted link.
    pub(crate) fn handle_message(&mut self, link: LinkKey, message: LinkMessage, now: ClockTime) {
        match message {
            LinkMessage::MemberHello(hello) => {
                self.set_peer_link(link, hello.address);
                self.handle_member_hello(hello, now);
            }
            LinkMessage::Consensus(bytes) => self.handle_consensus_frame(&bytes, now),
            LinkMessage::ForwardPut { token, step } => {
                let origin = PutOrigin::Forwarded { link, token };
                self.enqueue_put(step, origin, now);
            }
            LinkMessage::ForwardDrain(order) => self.propose_drain(order, now),
            LinkMessage::ReadAsk { token } => {
                self.enqueue_read(ReadOrigin::Asked { link, token }, now);
            }
            LinkMessage::EdgeHello {
                node,
                address,
                inner,
                stage,
                zone,
                relay_key,
            } => {
                let edge = EdgeEntry {
                    node,
                    address,
                    inner,
                    stage,
                    zone,
                    relay_key,
                    is_cut_off: false,
                };
                self.handle_edge_hello(link, edge, now);
            }
            LinkMessage::DirectoryHello { node } => self.handle_directory_hello(link, &node, now),
            LinkMessage::EdgeStaged(stage) => self.set_edge_stage(link, stage),
            LinkMessage::EdgeReach {
                is_cut_off,
                wants_peers,
            } => self.handle_edge_reach(link, is_cut_off, wants_peers),
            LinkMessage::WantKeepers => self.send_keepers(link, now),
            LinkMessage::WantConfig { above, direct } => self.send_config(link, above, direct),
            LinkMessage::Subscribe => self.subscribe(link, now),
            LinkMessage::Unsubscribe => self.unsubscribe(link),
            LinkMessage::Loads(counts) => self.handle_edge_loads(link, &counts, &[], now),
            LinkMessage::LoadsWithFigures { counts, figures } => {
                self.handle_edge_loads(link, &counts, &figures, now);
            }
            LinkMessage::PartialLoads(counts) => self.handle_peer_loads(link, &counts, &[], now),
            LinkMessage::PartialLoadsWithFigures { counts, figures } => {
                self.handle_peer_loads(link, &counts, &figures, now);
            }
            LinkMessage::CustomerLoads(loads) => self.handle_edge_customers(link, &loads),
            LinkMessage::PartialCustomerLoads(loads) => self.handle_peer_customers(link, &loads),
            LinkMessage::TextsPlaced(placed) => self.handle_edge_locations(link, &placed, now),
            LinkMessage::PartialPlaces(placed) => {
                self.locations.add(&placed, LocationOrigin::Registry, now);
            }
            LinkMessage::Crashes(reports) => self.handle_crashes(&reports, now),
            LinkMessage::PartCrashes(reports) => {
                self.has_unsaved_parts |= self.parts.relay(&reports, now);
            }
            LinkMessage::StreamOrigins { versions, origins } => {
                self.add_origins(&versions, &origins, now);
            }
            LinkMessage::WantOrigin {
                token,
                stream,
                service,
            } => self.tell_origin(link, token, stream, service, now),
            LinkMessage::KeepNotices { token, notices } => {
                self.keep_notices(link, token, notices, now);
            }
            LinkMessage::KnownVersions { known, is_complete } => {
                self.add_known_versions(link, &known, is_complete, now);
            }
            LinkMessage::PlacesKnown(locations) => self.locations.add_snapshot(locations, now),
            other => tracing::warn!(?other, "ignored an unexpected message"),
        }
    }

    /// Handles a message that another registry sent on the link dialled to it.
    pub(crate) fn handle_peer_message(
        &mut self,
        peer: SocketAddr,
        message: LinkMessage,
        now: ClockTime,
    ) {
        match message {
            LinkMessage::ForwardDone { token, outcome } => self.finish_put(token, outcome, now),
            LinkMessage::NoticesKept { token } => self.finish_notices(peer, token, now),
            LinkMessage::ReadDone { token, index } => self.index_read(token, index, now),
            other => tracing::warn!(?other, "ignored an unexpected message from a registry"),
        }
        self.reply_to_applied_reads(now);
    }

    fn handle_member_hello(&mut self, hello: MemberHello, now: ClockTime) {
        self.track_peer(hello.address);
        for &peer in &hello.known {
            self.track_peer(peer);
        }
        let effects = self.driver.handle_hello(&hello, now);
        let recalls = self.recalls();
        let mut is_first = false;
        let member = hello.member.map(MemberId);
        if let Some(entry) = self.peers.get_mut(&hello.address) {
            is_first = match &entry.hello {
                None => true,
                Some((previous, _)) => recalls && previous.member.is_none(),
            };
            entry.hello = Some((hello, now));
        }
        self.apply_effects(effects, now);
        // Before its first hello, the member behind this address was unknown.
        if let Some(member) = member.filter(|_| is_first) {
            let effects = self.driver.handle(CoreInput::PeerConnected { member }, now);
            self.apply_effects(effects, now);
        }
    }

    fn handle_consensus_frame(&mut self, bytes: &[u8], now: ClockTime) {
        match PeerFrame::decode(bytes) {
            Ok(frame) => {
                let effects = self.driver.handle(CoreInput::Frame(frame), now);
                self.apply_effects(effects, now);
            }
            Err(error) => tracing::warn!(%error, "dropped an undecodable consensus frame"),
        }
    }

    pub(crate) fn send_frame(&self, frame: &PeerFrame) {
        let Some(queue) = self.member_queue(frame.to) else {
            return;
        };
        match frame.encode() {
            Ok(bytes) => {
                queue.send(&LinkMessage::Consensus(bytes));
            }
            Err(error) => tracing::error!(%error, "failed to encode a consensus frame"),
        }
    }

    /// Outbound queue of a member's registry; absent while disconnected.
    pub(crate) fn member_queue(&self, member: MemberId) -> Option<&LinkQueue> {
        let is_it = |peer: &&PeerEntry| {
            let hello = peer.hello.as_ref();
            hello.is_some_and(|(hello, _)| hello.member == Some(member.0))
        };
        let peer = self.peers.values().find(is_it)?;
        peer.queue.as_ref()
    }

    /// Proposes the next voter change if this registry leads.
    pub(crate) fn plan_voters(&mut self, now: ClockTime) {
        let Some(core) = self.driver.core() else {
            return;
        };
        if now < self.next_plan_at || !core.accepts_member_changes() {
            return;
        }
        self.next_plan_at = now.after(VOTER_PLAN_INTERVAL);
        let statuses = self.member_statuses(core, now);
        let step = self.plan.next_step(core.members(), core.id(), &statuses);
        if let Some(change) = step {
            tracing::info!(
                ?change,
                heard_of = statuses.len(),
                "proposing a voter change"
            );
            let token = self.new_token();
            let effects = self
                .driver
                .handle(CoreInput::ChangeMember { token, change }, now);
            self.apply_effects(effects, now);
        }
    }

    /// Looks at once for the change that follows a committed one, and proposes what waited for the
    /// group to bear the tolerated losses.
    pub(crate) fn handle_members_changed(&mut self, now: ClockTime) {
        self.next_plan_at = now;
        self.is_proposal_due |= self.bears_losses();
    }

    /// Whether what is committed here outlasts the losses that the settings tolerate.
    pub(crate) fn bears_losses(&self) -> bool {
        self.driver.core().is_some_and(|core| {
            let is_committed = core.commit_index() >= core.members_index();
            is_committed && self.tolerance.is_met_by(core.members())
        })
    }

    /// Whether this registry knows its group, and that too few of its registries vote.
    pub(crate) fn has_too_few_voters(&self) -> bool {
        let members = self.driver.core().map(ConsensusCore::members);
        members.is_some_and(|members| !members.is_empty() && !self.tolerance.is_met_by(members))
    }

    pub(crate) fn member_statuses(
        &self,
        core: &ConsensusCore,
        now: ClockTime,
    ) -> Vec<MemberStatus> {
        let mut statuses = Vec::new();
        // Registries that have not opened their folders yet do not know their own identity.
        let mut opening = BTreeMap::new();
        for (hello, heard_at) in self.peers.values().filter_map(|peer| peer.hello.as_ref()) {
            let node = NodeId::from_name(&hello.address.to_string());
            let silent_for = now.since(*heard_at);
            let Some(member) = hello.member.map(MemberId) else {
                opening.insert(node, silent_for);
                continue;
            };
            statuses.push(MemberStatus {
                member,
                node,
                silent_for,
                is_caught_up: core.has_caught_up(member, now),
            });
        }
        // Members that this process has not heard from yet may only be slow to come back.
        let heard: BTreeSet<NodeId> = statuses.iter().map(|status| status.node).collect();
        let records = core.members().records().iter();
        let unheard = records.filter(|record| !heard.contains(&record.node));
        let uptime = now.since(self.started_at);
        statuses.extend(unheard.map(|record| MemberStatus {
            member: record.member,
            node: record.node,
            silent_for: opening.get(&record.node).copied().unwrap_or(uptime),
            is_caught_up: false,
        }));
        statuses
    }
}
