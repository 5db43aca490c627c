//! Handles edges, and announcements of endpoints.

use std::time::Duration;

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_telemetry::prelude::*;
use ragwortroad_types::prelude::*;
use tokio::sync::oneshot;

use crate::{
    ControlReply,
    call_flow::send_reply,
    edge_entry::EdgeEntry,
    registry_event::LinkKey,
    registry_state::RegistryState, //
};

/// Minimum time between two messages with endpoint updates to the edges.
///
/// After a fleet-wide restart, all endpoints announce themselves within one second. Sending each
/// update separately would saturate the CPU of a small VM while the group must elect a leader.
const UPDATE_INTERVAL: Duration = Duration::from_millis(40);

/// Time for which a started registry waits for a leader before it sends endpoint updates
/// regardless.
///
/// Forming the group takes about one second, including an election timeout. A registry that is
/// partitioned from the others stays without a leader, but what it learns of endpoints is still
/// useful.
const GROUP_FORMING_TIMEOUT: Duration = Duration::from_secs(3);

/// Size of an endpoint record on a link in bytes, compressed together with about twenty others.
const ENCODED_RECORD_BYTES: f64 = 30.0;

/// Minimum time between two fleet messages, unless the change is urgent.
///
/// After a fleet-wide restart the edge count changes with each edge that connects. Sending every
/// change would send each edge as many messages as there are edges, at the time when a registry is
/// busiest.
const FLEET_INTERVAL: Duration = Duration::from_secs(1);

impl RegistryState {
    pub(crate) fn handle_edge_hello(&mut self, link: LinkKey, edge: EdgeEntry, now: ClockTime) {
        let EdgeEntry {
            node,
            address,
            stage,
            ..
        } = &edge;
        tracing::info!(edge = node, %address, ?stage, "edge connected");
        // A restarted edge may reconnect before its old connection is detected as dead.
        let known = self.edges.iter();
        let previous = known.filter(|(_, known)| known.address == edge.address);
        let previous: Vec<LinkKey> = previous.map(|(link, _)| *link).collect();
        for previous in previous {
            self.unsubscribe(previous);
            self.edges.remove(&previous);
        }
        self.edges.insert(link, edge);
        self.discovery.note_joined(now);
        let Some(queue) = self.links.get(&link) else {
            return;
        };
        queue.send(&self.fleet_message(now));
        // Sent before the version, because the edge takes the version as a sign that this registry
        // has sent everything.
        let drains = self.driver.drains().clone();
        queue.send(&LinkMessage::DomainDrains(drains));
        self.send_all_parts(queue, now);
        // Before the endpoints, so that streams begin at them at once.
        queue.send(&LinkMessage::VersionsKept(
            self.counted_versions().into_iter().collect(),
        ));
        let records = self.table.records(now).collect();
        queue.send(&LinkMessage::EndpointsWhole(records));
        if let Some(version) = self.announced_version() {
            queue.send(&LinkMessage::ConfigVersion(version));
        }
    }

    pub(crate) fn set_edge_stage(&mut self, link: LinkKey, stage: EdgeStage) {
        if let Some(edge) = self.edges.get_mut(&link) {
            tracing::info!(edge = edge.node, ?stage, "edge changed its stage");
            edge.stage = stage;
        }
    }

    /// Records whether an edge reaches endpoints, and tells it which edges take its requests.
    pub(crate) fn handle_edge_reach(&mut self, link: LinkKey, is_cut_off: bool, wants_peers: bool) {
        let Some(edge) = self.edges.get_mut(&link) else {
            return;
        };
        if edge.is_cut_off != is_cut_off {
            tracing::info!(
                edge = edge.node,
                is_cut_off,
                "edge changed its reach of endpoints"
            );
            edge.is_cut_off = is_cut_off;
        }
        let edge = &self.edges[&link];
        if let Some(queue) = self.links.get(&link).filter(|_| wants_peers) {
            let candidates = self.relay_candidates();
            let peers = choose_relay_peers(edge.address, &edge.zone, &candidates);
            queue.send(&LinkMessage::RelayPeers(peers));
        }
    }

    pub(crate) fn handle_link_closed(&mut self, link: LinkKey) {
        self.links.remove(&link);
        self.unsubscribe(link);
        self.remove_peer_link(link);
        self.directories.remove(&link);
        self.copies.drop_edge(link.0);
        if let Some(edge) = self.edges.remove(&link) {
            tracing::info!(edge = edge.node, "edge disconnected");
            metrics::counter!(metric_names::LINKS_LOST, "peer" => "edge").increment(1);
        }
    }

    /// Version to announce to edges; absent before the first configuration, and while this registry
    /// may have no more than its snapshot.
    ///
    /// A snapshot may be hundreds of configurations old. Edges that start together with all
    /// registries would serve by it, and accept keys that were revoked since.
    fn announced_version(&self) -> Option<u64> {
        let version = self.driver.register().version();
        version.filter(|_| self.announces_config)
    }

    /// Starts to announce the configuration once the state is current, or the group takes too long to
    /// form.
    pub(crate) fn start_announcing(&mut self, now: ClockTime) {
        let is_late = now.since(self.started_at) >= GROUP_FORMING_TIMEOUT;
        if !self.announces_config && (self.driver.is_current() || is_late) {
            self.announces_config = true;
            self.broadcast_config_version();
        }
    }

    pub(crate) fn broadcast_config_version(&self) {
        if let Some(version) = self.announced_version() {
            tracing::info!(version, edges = self.edges.len(), "configuration in force");
            self.broadcast_to_edges(&LinkMessage::ConfigVersion(version));
        }
    }

    pub(crate) fn broadcast_fleet(&mut self, now: ClockTime) {
        metrics::gauge!(metric_names::EDGES_CONNECTED).set(self.edges.len() as f64);
        metrics::gauge!(metric_names::EDGES_SUBSCRIBED).set(self.subscribers.len() as f64);
        let version = self.driver.register().version().unwrap_or(0);
        metrics::gauge!(metric_names::CONFIG_VERSION).set(version as f64);
        let message = self.fleet_message(now);
        if self.sent_fleet.as_ref() == Some(&message) {
            return;
        }
        if now < self.next_fleet_at && !self.is_fleet_urgent(&message) {
            return;
        }
        self.next_fleet_at = now.after(FLEET_INTERVAL);
        self.broadcast_to_edges(&message);
        self.sent_fleet = Some(message);
    }

    /// Whether a fleet message must be sent to the edges at once.
    ///
    /// An edge is ready once it has heard from more than half of the voters. After a fleet-wide
    /// restart it knows only the registries of its settings. Until it learns of the others, all
    /// edges use these few, whose links carry the configuration for all of them, and clients are
    /// served a second late. A registry that is partitioned from the others must stop being a home
    /// registry.
    fn is_fleet_urgent(&self, message: &LinkMessage) -> bool {
        let membership = |message: &LinkMessage| match message {
            LinkMessage::Fleet {
                registries,
                voters,
                hears,
                ..
            } => Some((registries.clone(), *voters, *hears)),
            _ => None,
        };
        self.sent_fleet.as_ref().and_then(membership) != membership(message)
    }

    pub(crate) fn fleet_message(&self, now: ClockTime) -> LinkMessage {
        LinkMessage::Fleet {
            registries: self.known_registries(now),
            voters: self.voter_count(),
            hears: self.peer_links.len() as u32 + 1,
            edges: self.edges.len() as u32,
            cut_off_edges: self.edges.values().filter(|edge| edge.is_cut_off).count() as u32,
        }
    }

    /// Number of voting members known here; 0 before this registry has joined the group.
    pub(crate) fn voter_count(&self) -> u32 {
        let core = self.driver.core();
        core.map_or(0, |core| core.members().voters().count() as u32)
    }

    /// Sends a message to all edges and returns the total size in bytes.
    pub(crate) fn broadcast_to_edges(&self, message: &LinkMessage) -> usize {
        self.send_to_links(self.edges.keys(), message)
    }

    pub(crate) fn enqueue_update(&mut self, change: RegistryChange) {
        match &change {
            RegistryChange::Told(record) | RegistryChange::Cooled(record) => {
                tracing::info!(
                    endpoint = record.name,
                    stage = ?record.stage,
                    service = record.service,
                    address = %record.address,
                    software = record.version,
                    sequence = record.sequence,
                    warming_ms = record.warming_ms,
                    "endpoint update"
                );
                self.share_warmup(record);
            }
            RegistryChange::Lost(name) => {
                tracing::info!(endpoint = name, "endpoint lost");
                metrics::counter!(metric_names::ENDPOINTS_LOST).increment(1);
            }
            RegistryChange::Goodbye(departure) => {
                tracing::info!(endpoint = departure.name, "endpoint left");
            }
        }
        self.updates.push(change);
    }

    /// Sends the queued urgent endpoint updates to the edges if they are due.
    pub(crate) fn send_due_updates(&mut self, now: ClockTime) {
        if self.updates.has_urgent() && now >= self.next_urgent_updates_at {
            self.next_urgent_updates_at = now.after(UPDATE_INTERVAL);
            self.send_urgent_updates();
        }
    }

    /// Sends the other queued endpoint updates that are due.
    pub(crate) fn send_deferrable_updates(&mut self, now: ClockTime) {
        if !self.updates.has_deferrable()
            || now < self.next_deferrable_updates_at
            || self.is_forming(now)
        {
            return;
        }
        self.send_urgent_updates();
        let pace = SendPace::for_updates(self.link_bytes_per_second());
        let count = pace.max_batch_items(self.edges.len(), ENCODED_RECORD_BYTES);
        let updates = self.updates.take_deferrable(count);
        let bytes = self.broadcast_to_edges(&LinkMessage::EndpointUpdates(updates));
        let delay = pace.delay_after(bytes);
        self.link_account.note_sent(bytes, now);
        self.next_deferrable_updates_at = now.after(UPDATE_INTERVAL.max(delay));
    }

    /// Whether this registry started recently, and neither knows a leader nor has recalled its state.
    ///
    /// Edges serve no client before there is a configuration, and there is none before there is a
    /// leader. When hundreds of edges and thousands of endpoints start at once, sending endpoint
    /// updates first would take the whole CPU of a small VM and delay the election.
    fn is_forming(&self, now: ClockTime) -> bool {
        !self.driver.has_state() && now.since(self.started_at) < GROUP_FORMING_TIMEOUT
    }

    fn send_urgent_updates(&mut self) {
        let updates = self.updates.take_urgent();
        if !updates.is_empty() {
            self.broadcast_to_edges(&LinkMessage::EndpointUpdates(updates));
        }
    }

    /// Bandwidth of this VM's link in bytes per second.
    pub(crate) fn link_bytes_per_second(&self) -> f64 {
        self.settings.link_bytes_per_second()
    }

    pub(crate) fn expire_endpoints(&mut self, now: ClockTime) {
        for change in self.table.expire(now) {
            self.enqueue_update(change);
        }
    }

    /// Handles an announcement, provided that an edge is connected.
    ///
    /// A registry that is partitioned from all edges must not acknowledge: the endpoint would rely
    /// on its drain being known while it still receives requests. Without an acknowledgement it
    /// tries another registry.
    pub(crate) fn handle_announcement(
        &mut self,
        record: EndpointRecord,
        reply: oneshot::Sender<ControlReply>,
        now: ClockTime,
    ) {
        if self.edges.is_empty() {
            let reason = "no edge is connected here; announce at another registry";
            send_reply(reply, ControlReply::Unavailable { reason });
            return;
        }
        let version = VersionTag::of(&record.service, &record.version);
        // An endpoint that drains has begun streams which may come back.
        self.note_versions(version, now);
        if let Some(change) = self.table.announce(record.clone(), now) {
            self.enqueue_update(change);
        }
        match self.table.is_drain_kept(&record) {
            true => send_reply(reply, ControlReply::Done),
            false => self.enqueue_notice(RegistryChange::Told(record), reply, now),
        }
    }

    pub(crate) fn handle_goodbye(
        &mut self,
        name: &str,
        reply: oneshot::Sender<ControlReply>,
        now: ClockTime,
    ) {
        if self.edges.is_empty() {
            let reason = "no edge is connected here; say goodbye at another registry";
            send_reply(reply, ControlReply::Unavailable { reason });
            return;
        }
        let departure = self.table.departure(name, self.wall_ms(now));
        let change = self.table.apply_departure(departure, now);
        self.enqueue_update(change.clone());
        self.enqueue_notice(change, reply, now);
    }
}
