//! Choice of peers, and detection of failed nodes.

use std::time::Duration;

use ragwortroad_types::prelude::*;
use rand::{
    RngExt,
    seq::IndexedRandom, //
};

use crate::{
    MembershipTable,
    NodeRecord,
    NodeState,
    ring_view::neighbours,
    wire::wire_item::{
        ProbeItem,
        WireItem, //
    }, //
};

/// Interval after which the neighbours are chosen again even if no node has changed.
const RING_REFRESH_INTERVAL: Duration = Duration::from_secs(5);
/// Time without packets after which a link is closed, unless it belongs to a neighbour.
const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a node is not chosen as a neighbour after the direct path to it broke.
const AVOID_DURATION: Duration = Duration::from_secs(30);
/// Interval between contacts to absent nodes while this node is joining or isolated.
const SEED_CONTACT_INTERVAL: Duration = Duration::from_secs(1);
/// Time after the start during which a node counts as joining.
const JOIN_PERIOD: Duration = Duration::from_secs(20);
/// Minimum interval between two probes of a silent neighbour.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

impl MembershipTable {
    /// Chooses the neighbours among the present nodes.
    pub(super) fn choose_neighbours(&mut self, now: ClockTime) {
        let unchanged = self.ring_generation == Some(self.nodes.generation);
        if unchanged && now.since(self.ring_chosen) < RING_REFRESH_INTERVAL {
            return;
        }
        self.ring_generation = Some(self.nodes.generation);
        self.ring_chosen = now;
        let Some(own) = self.nodes.record(self.own) else {
            return;
        };
        let avoided = |id: &NodeId| {
            self.links
                .get(id)
                .is_some_and(|link| link.avoid_until > now)
        };
        let present: Vec<(NodeId, &NodeRecord)> = self
            .nodes
            .present()
            .filter(|(id, _)| !avoided(id))
            .map(|(id, entry)| (id, &entry.record))
            .collect();
        let selected = neighbours(own, &present, self.settings.rings);
        for peer in &selected {
            let link = self.open_link(*peer, now);
            if link.is_neighbour {
                continue;
            }
            link.is_neighbour = true;
            link.since = now;
        }
        for (peer, link) in &mut self.links {
            if link.is_neighbour && !selected.contains(peer) {
                link.is_neighbour = false;
                link.pending.clear();
                link.in_flight.clear();
            }
        }
        self.links.retain(|_, link| {
            link.is_neighbour || link.idle(now) < LINK_IDLE_TIMEOUT || link.avoid_until > now
        });
    }

    /// Probes silent neighbours, directly and through other nodes, and suspects those that stay
    /// silent.
    pub(super) fn probe_silent_neighbours(&mut self, now: ClockTime) {
        let silent: Vec<(NodeId, Duration)> = self
            .links
            .iter()
            .filter(|(_, link)| link.is_neighbour)
            .map(|(peer, link)| (*peer, link.silence(now)))
            .filter(|(_, silence)| *silence >= self.settings.heartbeat_interval * 3 / 2)
            .collect();
        for (peer, silence) in silent {
            self.probe_directly(peer, now);
            if silence >= self.settings.probe_after {
                self.probe_indirectly(peer, now);
            }
            if silence >= self.settings.suspect_after {
                self.suspect(peer, now);
            }
        }
    }

    /// Probes a silent neighbour directly.
    fn probe_directly(&mut self, peer: NodeId, now: ClockTime) {
        let link = self.open_link(peer, now);
        if link
            .last_probe
            .is_none_or(|at| now.since(at) >= PROBE_INTERVAL)
        {
            link.probe_due = true;
        }
    }

    /// Asks a few random nodes to probe a silent neighbour.
    fn probe_indirectly(&mut self, peer: NodeId, now: ClockTime) {
        let link = self.open_link(peer, now);
        if link
            .last_indirect_probe
            .is_some_and(|at| now.since(at) < PROBE_INTERVAL)
        {
            return;
        }
        link.last_indirect_probe = Some(now);
        let others: Vec<NodeId> = self
            .nodes
            .iter()
            .filter(|(_, entry)| entry.record.state == NodeState::Alive)
            .map(|(id, _)| id)
            .filter(|id| *id != peer && *id != self.own)
            .collect();
        let helpers: Vec<NodeId> = others
            .sample(&mut self.rng, self.settings.indirect_probe_count)
            .copied()
            .collect();
        for helper in helpers {
            let item = WireItem::ProbeFor(ProbeItem { target: peer.0 });
            self.open_link(helper, now).push_direct(item);
        }
    }

    /// Suspects a silent neighbour, unless other nodes still reach it.
    fn suspect(&mut self, peer: NodeId, now: ClockTime) {
        let timeout = self.settings.suspect_after;
        let link = self.open_link(peer, now);
        if link
            .last_indirect_ack
            .is_some_and(|at| now.since(at) < timeout)
        {
            // Only the direct path is broken, so updates have to take another one.
            link.avoid_until = now.after(AVOID_DURATION);
            self.ring_generation = None;
            return;
        }
        let Some(record) = self.nodes.record(peer).cloned() else {
            return;
        };
        let state = match record.state {
            NodeState::Alive => NodeState::Suspected,
            NodeState::Leaving => NodeState::Down,
            NodeState::Suspected | NodeState::Down => return,
        };
        self.change_node(NodeRecord { state, ..record }, None, now);
    }

    /// Probes `target` on behalf of `requester`.
    pub(super) fn relay_probe(&mut self, requester: NodeId, target: NodeId, now: ClockTime) {
        let known = self.nodes.get(target).is_some();
        if target != self.own && known && self.relays.add(requester, target, now) {
            self.open_link(target, now).probe_due = true;
        }
    }

    /// Contacts nodes other than the neighbours, so that diverged views are reconciled.
    pub(super) fn contact_non_neighbours(&mut self, now: ClockTime) {
        let is_isolated = self.nodes.present_count() == 1;
        // Nodes that start at the same time may each reach a different seed first and form separate
        // fleets.
        let is_joining = self.started.is_some_and(|at| now.since(at) < JOIN_PERIOD);
        let interval = if is_isolated || is_joining {
            SEED_CONTACT_INTERVAL
        } else {
            self.settings.reconnect_interval
        };
        // The first contact is made without delay.
        let is_first = is_isolated && self.links.is_empty();
        if is_first || now.since(self.last_reconnect) >= interval {
            self.last_reconnect = now;
            self.contact_absent_node(now);
        }
        if now.since(self.last_random_contact) >= self.settings.random_contact_interval {
            self.last_random_contact = now;
            self.contact_present_node(now);
        }
    }

    /// Contacts a random node that is down, or a seed that is not present.
    fn contact_absent_node(&mut self, now: ClockTime) {
        let down = self
            .nodes
            .iter()
            .filter(|(_, entry)| !entry.record.state.is_present())
            .map(|(id, _)| id);
        let seeds = self
            .settings
            .seeds
            .iter()
            .map(|seed| seed.node)
            .filter(|id| *id != self.own && !self.nodes.state(*id).is_present());
        let absent: Vec<NodeId> = down.chain(seeds).collect();
        let Some(peer) = absent.choose(&mut self.rng).copied() else {
            return;
        };
        self.open_link(peer, now).probe_due = true;
    }

    /// Contacts a random node that is present and has no link.
    fn contact_present_node(&mut self, now: ClockTime) {
        let others: Vec<NodeId> = self
            .nodes
            .present()
            .map(|(id, _)| id)
            .filter(|id| *id != self.own)
            .filter(|id| !self.links.contains_key(id))
            .collect();
        if others.is_empty() {
            return;
        }
        let peer = others[self.rng.random_range(0..others.len())];
        self.open_link(peer, now).probe_due = true;
    }
}
