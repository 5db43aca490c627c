//! What a registry does with the other registries.

use std::{
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
/// They carry who is there to whom the leader may give a seat, which may be seconds old.
const HELLO_EVERY: Duration = Duration::from_secs(1);

/// The same while the group is not formed: the first configuration waits for it.
const FIRST_HELLO_EVERY: Duration = Duration::from_millis(150);

/// Time between two steps of the plan of seats; each is one entry of the log.
const PLAN_EVERY: Duration = Duration::from_millis(500);

/// Time after which a registry that is not heard of is no longer told to others.
const FORGET_AFTER: Duration = Duration::from_secs(30);

impl RegistryState {
    /// Sees to it that the registries of the settings are dialled.
    pub(crate) fn learn_seeds(&mut self) {
        let port = self.settings.inner.port();
        let seeds = self.settings.seeds.clone();
        for seed in seeds {
            self.learn_peer(SocketAddr::new(seed.ip(), port));
        }
    }

    fn learn_peer(&mut self, peer: SocketAddr) {
        if peer != self.settings.inner && !self.peers.contains_key(&peer) {
            self.peers.insert(peer, PeerEntry::default());
            self.undialled.insert(peer);
        }
    }

    pub(crate) fn reach_peer(&mut self, peer: SocketAddr, queue: LinkQueue, now: ClockTime) {
        let hello = self.own_hello(now);
        queue.send(&LinkMessage::MemberHello(hello));
        self.add_peer(peer, &queue);
        let entry = self.peers.entry(peer).or_default();
        entry.queue = Some(queue);
        let hello = entry.hello.as_ref();
        if let Some(member) = hello.and_then(|(hello, _)| hello.member).map(MemberId) {
            let effects = self.seat.handle(CoreInput::PeerConnected { member }, now);
            self.carry_out(effects, now);
        }
    }

    fn own_hello(&self, now: ClockTime) -> MemberHello {
        self.seat
            .hello(self.settings.inner, self.known_registries(now))
    }

    /// Registries that were heard of lately, or that the settings name.
    pub(crate) fn known_registries(&self, now: ClockTime) -> Vec<SocketAddr> {
        let port = self.settings.inner.port();
        let is_seed = |peer: &SocketAddr| {
            let seeds = self.settings.seeds.iter();
            seeds.clone().any(|seed| peer.ip() == seed.ip()) && peer.port() == port
        };
        let is_heard = |entry: &PeerEntry| {
            let hello = entry.hello.as_ref();
            hello.is_some_and(|(_, heard_at)| now.since(*heard_at) < FORGET_AFTER)
        };
        let peers = self.peers.iter();
        let known = peers.filter(|(peer, entry)| is_seed(peer) || is_heard(entry));
        let known = known.map(|(peer, _)| *peer);
        known.chain([self.settings.inner]).collect()
    }

    pub(crate) fn say_hello(&mut self, now: ClockTime) {
        if now < self.hello_at {
            return;
        }
        let is_formed = self.seat.applied() > 0;
        self.hello_at = now.after(match is_formed {
            true => HELLO_EVERY,
            false => FIRST_HELLO_EVERY,
        });
        let hello = LinkMessage::MemberHello(self.own_hello(now));
        for queue in self.peers.values().filter_map(|peer| peer.queue.as_ref()) {
            queue.send(&hello);
        }
    }

    /// Takes a message of another registry; `link` is its connection to here.
    pub(crate) fn take_message(&mut self, link: LinkKey, message: LinkMessage, now: ClockTime) {
        match message {
            LinkMessage::MemberHello(hello) => {
                self.follow_peer(link, hello.address);
                self.take_hello(hello, now);
            }
            LinkMessage::Consensus(bytes) => self.take_frame(&bytes, now),
            LinkMessage::ForwardPut { token, step } => {
                let origin = PutOrigin::Forwarded { link, token };
                self.take_put(step, origin, now);
            }
            LinkMessage::ForwardDrain(order) => self.propose_drain(order, now),
            LinkMessage::ReadAsk { token } => {
                self.take_read(ReadOrigin::Asked { link, token }, now);
            }
            LinkMessage::EdgeHello {
                node,
                address,
                inner,
                stage,
            } => {
                let edge = EdgeEntry {
                    node,
                    address,
                    inner,
                    stage,
                };
                self.greet_edge(link, edge, now);
            }
            LinkMessage::DirectoryHello { node } => self.greet_directory(link, &node, now),
            LinkMessage::EdgeStaged(stage) => self.stage_edge(link, stage),
            LinkMessage::WantConfig { above, direct } => self.give_config(link, above, direct),
            LinkMessage::Subscribe => self.subscribe(link),
            LinkMessage::Unsubscribe => self.unsubscribe(link),
            LinkMessage::Loads(counts) => self.take_loads(link, &counts),
            LinkMessage::PartialLoads(counts) => self.take_part(link, &counts),
            LinkMessage::TextsPlaced(placed) => self.take_places(link, &placed, now),
            LinkMessage::PartialPlaces(placed) => {
                self.places.add(&placed, LocationOrigin::Registry, now);
            }
            LinkMessage::PlacesKnown(places) => self.places.add_snapshot(places, now),
            other => tracing::warn!(?other, "a message that no process sends here"),
        }
    }

    /// Takes what another registry answers on the connection to it.
    pub(crate) fn take_peer_message(&mut self, message: LinkMessage, now: ClockTime) {
        match message {
            LinkMessage::ForwardDone { token, outcome } => self.finish_put(token, outcome, now),
            LinkMessage::ReadDone { token, index } => self.prove_read(token, index, now),
            other => tracing::warn!(?other, "a message that no registry answers"),
        }
        self.settle_reads(now);
    }

    fn take_hello(&mut self, hello: MemberHello, now: ClockTime) {
        self.learn_peer(hello.address);
        for &peer in &hello.known {
            self.learn_peer(peer);
        }
        let effects = self.seat.take_hello(&hello, now);
        let mut is_first = false;
        let member = hello.member.map(MemberId);
        if let Some(entry) = self.peers.get_mut(&hello.address) {
            is_first = entry.hello.is_none();
            entry.hello = Some((hello, now));
        }
        self.carry_out(effects, now);
        // Until its first word nobody knew which member is reached there.
        if let Some(member) = member.filter(|_| is_first) {
            let effects = self.seat.handle(CoreInput::PeerConnected { member }, now);
            self.carry_out(effects, now);
        }
    }

    fn take_frame(&mut self, bytes: &[u8], now: ClockTime) {
        match PeerFrame::decode(bytes) {
            Ok(frame) => {
                let effects = self.seat.handle(CoreInput::Frame(frame), now);
                self.carry_out(effects, now);
            }
            Err(error) => tracing::warn!(%error, "a frame of the agreement was dropped"),
        }
    }

    pub(crate) fn send_frame(&self, frame: &PeerFrame) {
        let Some(queue) = self.queue_of(frame.to) else {
            return;
        };
        match frame.encode() {
            Ok(bytes) => {
                queue.send(&LinkMessage::Consensus(bytes));
            }
            Err(error) => tracing::error!(%error, "a frame of the agreement was not sent"),
        }
    }

    /// The connection to a member's registry.
    pub(crate) fn queue_of(&self, member: MemberId) -> Option<&LinkQueue> {
        let is_it = |peer: &&PeerEntry| {
            let hello = peer.hello.as_ref();
            hello.is_some_and(|(hello, _)| hello.member == Some(member.0))
        };
        let peer = self.peers.values().find(is_it)?;
        peer.queue.as_ref()
    }

    /// Takes the next step of the plan of seats, if this registry leads.
    pub(crate) fn plan_voters(&mut self, now: ClockTime) {
        let Some(core) = self.seat.core() else {
            return;
        };
        if now < self.plan_at || !core.accepts_proposals(now) {
            return;
        }
        self.plan_at = now.after(PLAN_EVERY);
        let holders = self.member_sightings(core, now);
        let step = self.plan.next_step(core.members(), core.id(), &holders);
        if let Some(change) = step {
            tracing::info!(?change, heard_of = holders.len(), "a seat changes");
            let token = self.draw_token();
            let effects = self
                .seat
                .handle(CoreInput::ChangeMember { token, change }, now);
            self.carry_out(effects, now);
        }
    }

    fn member_sightings(&self, core: &ConsensusCore, now: ClockTime) -> Vec<MemberStatus> {
        let mut holders = Vec::new();
        for (hello, heard_at) in self.peers.values().filter_map(|peer| peer.hello.as_ref()) {
            let Some(member) = hello.member.map(MemberId) else {
                continue;
            };
            holders.push(MemberStatus {
                member,
                node: NodeId::from_name(&hello.address.to_string()),
                silent_for: now.since(*heard_at),
                is_caught_up: core.has_caught_up(member, now),
            });
        }
        holders
    }
}
