//! What a registry does with edges and endpoints.

use std::time::Duration;

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_telemetry::prelude::*;
use ragwortroad_types::prelude::*;

use crate::{
    ControlReply,
    edge_entry::EdgeEntry,
    registry_event::LinkKey,
    registry_state::RegistryState, //
};

/// Time between two messages to the edges with updates of endpoints.
///
/// After a common restart all endpoints announce themselves within a second; told one by one they
/// would take a small VM's processor while the group has to elect a leader.
const UPDATE_INTERVAL: Duration = Duration::from_millis(40);

/// Time for a group to form or to find its leader after a start.
///
/// It takes a second, an election timeout included. A registry that is cut off from the others has
/// no leader for long, and what it hears of endpoints still counts.
const GROUP_FORMING_TIMEOUT: Duration = Duration::from_secs(3);

/// Bytes of an endpoint's record on a link, compressed with some twenty others.
const ENCODED_RECORD_BYTES: f64 = 30.0;

/// Time between two tellings of the fleet's registries and number of edges.
///
/// After a common restart the number changes with each edge that connects; told each time, each edge
/// would be told as often as there are edges, when a registry has most to do.
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
        // A restarted edge may be back before its old connection is found dead.
        let known = self.edges.iter();
        let previous = known.filter(|(_, known)| known.address == edge.address);
        let previous: Vec<LinkKey> = previous.map(|(link, _)| *link).collect();
        for previous in previous {
            self.unsubscribe(previous);
            self.edges.remove(&previous);
        }
        self.edges.insert(link, edge);
        self.gathering.note_joined(now);
        let Some(queue) = self.links.get(&link) else {
            return;
        };
        queue.send(&self.fleet_message(now));
        // Told before the version: by that the edge counts the registries that have told all.
        let drains = self.driver.drains().clone();
        queue.send(&LinkMessage::DomainDrains(drains));
        let records = self.table.records(now).collect();
        queue.send(&LinkMessage::EndpointsWhole(records));
        if let Some(version) = self.driver.register().version() {
            queue.send(&LinkMessage::ConfigVersion(version));
        }
    }

    pub(crate) fn set_edge_stage(&mut self, link: LinkKey, stage: EdgeStage) {
        if let Some(edge) = self.edges.get_mut(&link) {
            tracing::info!(edge = edge.node, ?stage, "edge says its stage");
            edge.stage = stage;
        }
    }

    pub(crate) fn handle_link_closed(&mut self, link: LinkKey) {
        self.links.remove(&link);
        self.unsubscribe(link);
        self.remove_peer_link(link);
        self.directories.remove(&link);
        self.copies.drop_edge(link.0);
        if let Some(edge) = self.edges.remove(&link) {
            tracing::info!(edge = edge.node, "edge lost");
            metrics::counter!(metric_names::LINKS_LOST, "peer" => "edge").increment(1);
        }
    }

    pub(crate) fn broadcast_config_version(&self) {
        if let Some(version) = self.driver.register().version() {
            tracing::info!(version, edges = self.edges.len(), "configuration in force");
            self.broadcast_to_edges(&LinkMessage::ConfigVersion(version));
        }
    }

    pub(crate) fn broadcast_fleet(&mut self, now: ClockTime) {
        metrics::gauge!(metric_names::EDGES).set(self.edges.len() as f64);
        metrics::gauge!(metric_names::SUBSCRIBERS).set(self.subscribers.len() as f64);
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

    /// Whether edges are to be told of the fleet at once.
    ///
    /// An edge is ready once it has heard from more than half of the voters. After a common restart it
    /// knows the registries of its settings only; until it is told of the others, all edges are at
    /// these, whose links carry the configuration for all of them, and callers are served a second
    /// late. A registry that is cut off from the others is no home for edges any more.
    fn is_fleet_urgent(&self, message: &LinkMessage) -> bool {
        let facts = |message: &LinkMessage| match message {
            LinkMessage::Fleet {
                registries,
                voters,
                hears,
                ..
            } => Some((registries.clone(), *voters, *hears)),
            _ => None,
        };
        self.sent_fleet.as_ref().and_then(facts) != facts(message)
    }

    pub(crate) fn fleet_message(&self, now: ClockTime) -> LinkMessage {
        LinkMessage::Fleet {
            registries: self.known_registries(now),
            voters: self.voter_count(),
            hears: self.peer_links.len() as u32 + 1,
            edges: self.edges.len() as u32,
        }
    }

    /// Registries that vote, as far as this one knows; none before it has joined the group.
    fn voter_count(&self) -> u32 {
        let core = self.driver.core();
        core.map_or(0, |core| core.members().voters().count() as u32)
    }

    /// Tells all edges the same; returns how many bytes that takes.
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
            RegistryChange::Goodbye(name) => tracing::info!(endpoint = name, "endpoint left"),
        }
        self.updates.push(change);
    }

    /// Sends the edges what was heard from endpoints since the last time.
    pub(crate) fn send_updates(&mut self, now: ClockTime) {
        if self.updates.has_urgent() && now >= self.next_urgent_updates_at {
            self.next_urgent_updates_at = now.after(UPDATE_INTERVAL);
            self.send_urgent_updates();
        }
        if !self.updates.has_calm() || now < self.next_calm_updates_at || self.is_forming(now) {
            return;
        }
        self.send_urgent_updates();
        let pace = SendPace::of_updates(self.link_bytes_per_second());
        let count = pace.items_at_once(self.edges.len(), ENCODED_RECORD_BYTES);
        let updates = self.updates.take_calm(count);
        let bytes = self.broadcast_to_edges(&LinkMessage::EndpointUpdates(updates));
        let span = pace.span(bytes);
        self.next_calm_updates_at = now.after(UPDATE_INTERVAL.max(span));
    }

    /// Whether this registry has just started and has not heard of a leader yet.
    ///
    /// Edges serve nobody before there is a configuration, and there is none before a leader. Where
    /// hundreds of edges and thousands of endpoints start at once, telling edges of endpoints first
    /// would take a small VM's whole processor, and the group be formed late.
    fn is_forming(&self, now: ClockTime) -> bool {
        let core = self.driver.core();
        let has_leader = core.is_some_and(|core| core.leader().is_some());
        !has_leader && now.since(self.started_at) < GROUP_FORMING_TIMEOUT
    }

    fn send_urgent_updates(&mut self) {
        let updates = self.updates.take_urgent();
        if !updates.is_empty() {
            self.broadcast_to_edges(&LinkMessage::EndpointUpdates(updates));
        }
    }

    /// Bytes a second that this VM's link carries.
    pub(crate) fn link_bytes_per_second(&self) -> f64 {
        self.settings.link_mbps * 1e6 / 8.0
    }

    pub(crate) fn expire_endpoints(&mut self, now: ClockTime) {
        for change in self.table.expire(now) {
            self.enqueue_update(change);
        }
    }

    /// Takes an announcement, if there is an edge to pass it on to.
    ///
    /// A registry that is cut off from all edges must not acknowledge: the endpoint would count on
    /// its drain being known, and go on getting work. It then tries another registry.
    pub(crate) fn handle_announcement(
        &mut self,
        record: EndpointRecord,
        now: ClockTime,
    ) -> ControlReply {
        if self.edges.is_empty() {
            return ControlReply::Unavailable {
                reason: "no edge is connected here; announce at another registry",
            };
        }
        if let Some(change) = self.table.announce(record, now) {
            self.enqueue_update(change);
        }
        ControlReply::Done
    }

    pub(crate) fn handle_goodbye(&mut self, name: &str, now: ClockTime) -> ControlReply {
        if self.edges.is_empty() {
            return ControlReply::Unavailable {
                reason: "no edge is connected here; say goodbye at another registry",
            };
        }
        let change = self.table.leave(name, now);
        self.enqueue_update(change);
        ControlReply::Done
    }
}
