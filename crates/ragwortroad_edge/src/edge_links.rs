//! Connections of an edge to the registries, and what comes over them.

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
    config_intake::{
        settle_config,
        take_deltas,
        take_version, //
    },
    config_share::fetch_config,
    edge_state::{
        EdgeShared,
        EdgeState, //
    },
    registry_link::RegistryLink, //
};

/// Dials the registries that the settings name.
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
        spawn_local(keep_registry(Rc::clone(shared), source, address));
    }
}

/// Keeps a connection to one registry for as long as the process runs.
async fn keep_registry(shared: Rc<EdgeShared>, source: SourceKey, address: SocketAddr) {
    let settings = LinkSettings::default();
    let mut backoff = DialBackoff::default();
    loop {
        let limit = backoff.attempt_timeout(shared.running(), settings.dial_timeout);
        match dial_link(address, limit).await {
            Ok(stream) => {
                backoff.reset();
                let (queue, receiver) = LinkQueue::new(&settings);
                begin_link(&shared, source, &queue);
                let inward = Rc::clone(&shared);
                let take = move |message| take_message(&inward, source, message);
                let ended = run_link(stream, (queue, receiver), true, &settings, take).await;
                tracing::info!(registry = %address, %ended, "registry lost");
                metrics::counter!(metric_names::LINKS_LOST, "peer" => "registry").increment(1);
                end_link(&shared, source);
            }
            Err(error) => tracing::debug!(registry = %address, %error, "registry not reached"),
        }
        sleep(backoff.next_delay(shared.running())).await;
    }
}

fn begin_link(shared: &EdgeShared, source: SourceKey, queue: &LinkQueue) {
    let mut state = shared.state.borrow_mut();
    let callers = shared.settings.callers;
    if let Some(address) = callers {
        queue.send(&LinkMessage::EdgeHello {
            node: shared.settings.name.clone(),
            address,
            inner: shared.settings.inner,
            stage: state.stage,
        });
    }
    if let Some(link) = state.links.get_mut(&source) {
        tracing::info!(registry = %link.address, "registry connected");
        link.reset(Some(queue.clone()));
    }
}

fn end_link(shared: &EdgeShared, source: SourceKey) {
    let now = shared.now();
    let mut state = shared.state.borrow_mut();
    state.endpoints.drop_source(source, now);
    if let Some(link) = state.links.get_mut(&source) {
        link.reset(None);
        let address = link.address;
        state.fetch.note_lost(address);
    }
}

fn take_message(shared: &Rc<EdgeShared>, source: SourceKey, message: LinkMessage) {
    let now = shared.now();
    match message {
        LinkMessage::Fleet {
            registries,
            voters,
            hears,
            edges,
        } => {
            let mut state = shared.state.borrow_mut();
            state.edges = edges;
            if let Some(link) = state.links.get_mut(&source) {
                link.voters = voters;
                link.hears = hears;
            }
            drop(state);
            dial_registries(shared, registries);
        }
        LinkMessage::ConfigVersion(version) => take_version(shared, source, version),
        LinkMessage::ConfigDeltas(steps) => take_deltas(shared, &steps),
        LinkMessage::ConfigAt(helper) => {
            spawn_local(fetch_config(Rc::clone(shared), helper));
        }
        LinkMessage::Loads(counts) => {
            let mut state = shared.state.borrow_mut();
            state.loads_at = Some(now);
            if let Some(link) = state.links.get_mut(&source) {
                for total in counts {
                    match total.count {
                        0 => link.totals.remove(&total.endpoint),
                        count => link.totals.insert(total.endpoint, count),
                    };
                }
            }
            state.set_limits(now);
        }
        LinkMessage::TextsPlaced(placed) => {
            let mut state = shared.state.borrow_mut();
            for place in placed {
                state.take_place(place, now);
            }
        }
        LinkMessage::DomainDrains(drains) => {
            let warm_at = now.after(undrain_warmup(shared.settings.announce_every));
            shared.state.borrow_mut().take_drains(drains, warm_at);
        }
        LinkMessage::WarmupShare(share) => {
            shared.state.borrow_mut().warmups.add_share(share, now);
        }
        LinkMessage::WantPlaces => shared.state.borrow().send_all_places(source),
        LinkMessage::EndpointsWhole(records) => {
            let mut state = shared.state.borrow_mut();
            for record in records {
                take_record(&mut state, source, record, now);
            }
            if let Some(link) = state.links.get_mut(&source) {
                link.has_told = true;
            }
        }
        LinkMessage::EndpointUpdates(updates) => {
            let mut state = shared.state.borrow_mut();
            for change in updates {
                take_change(&mut state, source, change, now);
            }
        }
        other => tracing::warn!(?other, "a message that no registry sends an edge"),
    }
    settle_config(shared);
}

fn take_change(state: &mut EdgeState, source: SourceKey, change: RegistryChange, now: ClockTime) {
    match change {
        RegistryChange::Told(record) | RegistryChange::Cooled(record) => {
            take_record(state, source, record, now);
        }
        RegistryChange::Lost(name) => state.endpoints.mark_lost(source, &name, now),
        RegistryChange::Goodbye(name) => {
            let change = state.endpoints.apply_goodbye(&name, now);
            tracing::info!(endpoint = name, ?change, "endpoint left");
            state.follow_change(change, now);
        }
    }
}

fn take_record(state: &mut EdgeState, source: SourceKey, record: EndpointRecord, now: ClockTime) {
    let name = record.name.clone();
    let stage = record.stage;
    let change = state.endpoints.apply_record(source, record, now);
    if change != EndpointChange::Unchanged {
        tracing::info!(endpoint = name, ?stage, ?change, "endpoint update");
    }
    state.follow_change(change, now);
}
