//! Connections of an edge to the registries, and handling of their messages.

use std::{
    net::SocketAddr,
    rc::Rc, //
};

use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_telemetry::prelude::*;
use ragwortroad_types::prelude::*;
use tokio::{
    task::spawn_local,
    time::sleep, //
};

use crate::{
    config_exchange::fetch_config,
    config_update::{
        apply_deltas,
        record_version,
        refresh_config, //
    },
    edge_state::{
        EdgeShared,
        EdgeState, //
    },
    registry_link::RegistryLink, //
};

/// Connects to the registries listed in the settings.
pub(crate) fn dial_seeds(shared: &Rc<EdgeShared>, seeds: &[SocketAddr]) {
    let port = shared.settings.inner.port();
    let addresses = seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port));
    dial_registries(shared, addresses.collect());
}

fn dial_registries(shared: &Rc<EdgeShared>, addresses: Vec<SocketAddr>) {
    for address in addresses {
        let mut state = shared.state.borrow_mut();
        if !state.registries.insert(address) {
            continue;
        }
        let source = SourceKey(state.next_source);
        state.next_source += 1;
        state.links.insert(source, RegistryLink::new(address));
        drop(state);
        spawn_local(maintain_link(Rc::clone(shared), source, address));
    }
}

/// Keeps a connection to one registry for as long as the process runs, reconnecting with backoff.
async fn maintain_link(shared: Rc<EdgeShared>, source: SourceKey, address: SocketAddr) {
    let settings = LinkSettings::default();
    let mut backoff = DialBackoff::default();
    loop {
        let timeout = backoff.attempt_timeout(shared.uptime(), settings.dial_timeout);
        match dial_link(address, timeout).await {
            Ok(stream) => {
                backoff.reset();
                let (queue, receiver) = LinkQueue::new(&settings);
                open_link(&shared, source, &queue);
                let message_shared = Rc::clone(&shared);
                let on_message = move |message| handle_message(&message_shared, source, message);
                let ended = run_link(stream, (queue, receiver), true, &settings, on_message).await;
                tracing::info!(registry = %address, %ended, "registry disconnected");
                metrics::counter!(metric_names::LINKS_LOST, "peer" => "registry").increment(1);
                close_link(&shared, source);
            }
            Err(error) => tracing::debug!(registry = %address, %error, "registry unreachable"),
        }
        sleep(backoff.next_delay(shared.uptime())).await;
    }
}

fn open_link(shared: &EdgeShared, source: SourceKey, queue: &LinkQueue) {
    let mut state = shared.state.borrow_mut();
    let client_address = shared.settings.callers;
    if let Some(address) = client_address {
        queue.send(&LinkMessage::EdgeHello {
            node: shared.settings.name.clone(),
            address,
            inner: shared.settings.inner,
            stage: state.stage,
            zone: shared.settings.zone.clone(),
            relay_key: shared.relay_key,
        });
        if state.is_cut_off() {
            queue.send(&LinkMessage::EdgeReach {
                is_cut_off: true,
                wants_peers: false,
            });
        }
    }
    if let Some(link) = state.links.get_mut(&source) {
        tracing::info!(registry = %link.address, "registry connected");
        link.reset(Some(queue.clone()));
    }
    state.send_origins(source, shared.now());
}

fn close_link(shared: &EdgeShared, source: SourceKey) {
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    state.endpoints.drop_source(source, now);
    if let Some(link) = state.links.get_mut(&source) {
        link.reset(None);
        let address = link.address;
        state.fetch.note_lost(address);
    }
}

fn handle_message(shared: &Rc<EdgeShared>, source: SourceKey, message: LinkMessage) {
    let now = shared.now();
    match message {
        LinkMessage::Fleet {
            registries,
            voters,
            hears,
            edges,
            cut_off_edges,
        } => {
            let mut state = shared.state.borrow_mut();
            state.edges = edges;
            state.cut_off_edges = cut_off_edges;
            if let Some(link) = state.links.get_mut(&source) {
                link.voters = voters;
                link.hears = hears;
            }
            let known = registries.len() as u32;
            state.version_quorum.set_voters(source, voters, known);
            drop(state);
            dial_registries(shared, registries);
        }
        LinkMessage::ConfigVersion(version) => record_version(shared, source, version),
        LinkMessage::ConfigDeltas(steps) => apply_deltas(shared, &steps),
        LinkMessage::ConfigAt(helper) => {
            spawn_local(fetch_config(Rc::clone(shared), helper));
        }
        LinkMessage::Loads(counts) => {
            let mut state = shared.state.borrow_mut();
            state.apply_loads(source, &counts, &[], now);
        }
        LinkMessage::LoadsWithFigures { counts, figures } => {
            let figures = match shared.settings.mechanisms.endpoint_speeds {
                true => figures,
                false => Vec::new(),
            };
            let mut state = shared.state.borrow_mut();
            state.apply_loads(source, &counts, &figures, now);
        }
        LinkMessage::CustomerLoads(loads) => {
            if shared.settings.mechanisms.customer_shares {
                let mut state = shared.state.borrow_mut();
                state.apply_customer_loads(source, &loads, now);
            }
        }
        LinkMessage::TextsPlaced(locations) => {
            let mut state = shared.state.borrow_mut();
            for location in locations {
                state.apply_location(location, now);
            }
        }
        LinkMessage::DomainDrains(drains) => {
            let warm_at = now.after(undrain_warmup(shared.settings.announce_every));
            shared.state.borrow_mut().apply_drains(drains, warm_at);
        }
        LinkMessage::WarmupShare(share) => {
            shared.state.borrow_mut().warmups.add_share(share, now);
        }
        LinkMessage::Crashes(reports) => shared.state.borrow_mut().crashes.merge(&reports, now),
        LinkMessage::PartCrashes(reports) => {
            shared.state.borrow_mut().parts.merge(&reports, now);
        }
        LinkMessage::OriginKnown { token, answer } => {
            let state = shared.state.borrow();
            state.origin_questions.add_answer(token, source, answer);
        }
        LinkMessage::VersionsKept(versions) => {
            let mut state = shared.state.borrow_mut();
            state.version_quorum.set_kept(source, versions);
            state.update_mixed_services(now);
        }
        LinkMessage::RelayPeers(peers) => {
            shared.state.borrow_mut().relay_peers.set(peers, now);
        }
        LinkMessage::PlaceKeepers(candidates) => {
            let mut state = shared.state.borrow_mut();
            state.keepers.set_candidates(candidates, now);
        }
        LinkMessage::WantPlaces => shared.state.borrow().send_all_locations(source),
        LinkMessage::EndpointsWhole(records) => {
            let mut state = shared.state.borrow_mut();
            for record in records {
                let change = apply_record(&mut state, source, record, now);
                state.update_counts.add(change);
            }
            if let Some(link) = state.links.get_mut(&source) {
                link.has_sent_all = true;
            }
        }
        LinkMessage::EndpointUpdates(updates) => {
            let mut state = shared.state.borrow_mut();
            for change in updates {
                let change = apply_update(&mut state, source, change, now);
                state.update_counts.add(change);
            }
        }
        other => tracing::warn!(?other, "unexpected message from a registry"),
    }
    refresh_config(shared);
}

pub(crate) fn apply_update(
    state: &mut EdgeState,
    source: SourceKey,
    change: RegistryChange,
    now: ClockTime,
) -> EndpointChange {
    match change {
        RegistryChange::Told(record) | RegistryChange::Cooled(record) => {
            apply_record(state, source, record, now)
        }
        RegistryChange::Lost(name) => {
            state.endpoints.mark_lost(source, &name, now);
            EndpointChange::Same
        }
        RegistryChange::Goodbye(departure) => {
            let change = state.endpoints.apply_departure(source, &departure, now);
            let name = &departure.name;
            tracing::debug!(endpoint = name, ?change, "endpoint left");
            state.apply_change(change, now);
            change
        }
    }
}

fn apply_record(
    state: &mut EdgeState,
    source: SourceKey,
    record: EndpointRecord,
    now: ClockTime,
) -> EndpointChange {
    if let Err(fault) = record.check() {
        tracing::warn!(%fault, "a registry sent an invalid record");
        return EndpointChange::Same;
    }
    let name = tracing::enabled!(tracing::Level::DEBUG).then(|| record.name.clone());
    let stage = record.stage;
    let version = VersionTag::of(&record.service, &record.version);
    // An endpoint that drains has begun streams which may come back.
    if let Some(version) = version.filter(|_| stage != EndpointStage::Gone) {
        state.note_version(version, now);
    }
    let change = state.endpoints.apply_record(source, record, now);
    if change != EndpointChange::Same {
        tracing::debug!(endpoint = name, ?stage, ?change, "endpoint update");
    }
    state.apply_change(change, now);
    change
}
