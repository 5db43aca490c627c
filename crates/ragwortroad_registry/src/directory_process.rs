//! A process that only resolves edge addresses for clients.
//!
//! It stores nothing and connects to every registry, so it can run on any VM. Operators place
//! directories so that no single failure domain holds all directories that a client queries.

use std::{
    collections::{
        BTreeMap,
        btree_map::Entry, //
    },
    net::SocketAddr,
    pin::pin, //
};

use flume::{
    Receiver,
    Sender, //
};
use ragwortroad_clock::prelude::*;
use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_settings::prelude::*;
use ragwortroad_telemetry::prelude::*;
use ragwortroad_types::prelude::*;
use snafu::OptionExt;
use tokio::{
    select,
    task::spawn_local, //
};

use crate::{
    ControlCall,
    ControlReply,
    RegistryError,
    RegistryPort,
    RegistrySignal,
    call_flow::send_reply,
    call_server::serve_calls,
    directory_flow::{
        MAX_ADDRESSES,
        directory_reply, //
    },
    open_calls::OpenCalls,
    peer_dialer::maintain_peer_link,
    registry_error::MissingSettingSnafu,
    registry_event::RegistryEvent,
    registry_process::{
        drain_limit,
        forward_signals,
        listen,
        run_on_local_set,
        serve_metrics, //
    }, //
};

/// State of a directory process.
struct DirectoryState {
    settings: ForwardSettings,
    edges: EdgeDirectory,
    /// Connections to registries, keyed by the address at which each listens for links. The value
    /// is absent while disconnected.
    ///
    /// Dropping a queue closes its connection.
    registries: BTreeMap<SocketAddr, Option<LinkQueue>>,
    events: Sender<RegistryEvent>,
}

/// Runs a directory on the current thread until it receives [`RegistrySignal::Stop`].
///
/// `page` serves the metrics at the address from the settings; without it, no metrics are served.
///
/// # Errors
///
/// A setting is missing, an address cannot be bound, or the runtime cannot start.
pub fn run_directory(
    settings: ForwardSettings,
    port: RegistryPort,
    signals: Receiver<RegistrySignal>,
    page: Option<MetricsPage>,
) -> Result<(), RegistryError> {
    run_on_local_set(serve_directory(settings, port, signals, page))
}

async fn serve_directory(
    settings: ForwardSettings,
    port: RegistryPort,
    signals: Receiver<RegistrySignal>,
    page: Option<MetricsPage>,
) -> Result<(), RegistryError> {
    let key = "directory";
    let directory = settings.directory.context(MissingSettingSnafu { key })?;
    let (events, queue) = flume::unbounded();
    let calls = OpenCalls::new();
    let listener = listen(directory).await?;
    spawn_local(serve_calls(listener, port, events.clone(), &calls));
    serve_metrics(page, &settings).await?;
    spawn_local(forward_signals(signals, events.clone()));
    let clock = RealClock::start();
    let mut state = DirectoryState {
        edges: EdgeDirectory::new(clock.now()),
        settings,
        registries: BTreeMap::new(),
        events,
    };
    state.dial_seeds();
    let mut drained = pin!(calls.drain(drain_limit(&state.settings)));
    loop {
        let event = select! {
            event = queue.recv_async() => event,
            () = &mut drained => break,
        };
        match event {
            Ok(RegistryEvent::Stop) => {
                tracing::info!("stopping");
                calls.stop();
            }
            Ok(event) => state.handle(event, clock.now()),
            Err(_) => break,
        }
    }
    tracing::info!("stopped");
    Ok(())
}

impl DirectoryState {
    fn dial_seeds(&mut self) {
        let port = self.settings.inner.port();
        let seeds = self.settings.seeds.iter();
        let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), port));
        self.dial(seeds.collect());
    }

    fn dial(&mut self, registries: Vec<SocketAddr>) {
        for registry in registries {
            if let Entry::Vacant(entry) = self.registries.entry(registry) {
                entry.insert(None);
                spawn_local(maintain_peer_link(registry, self.events.clone()));
            }
        }
    }

    fn handle(&mut self, event: RegistryEvent, now: ClockTime) {
        match event {
            RegistryEvent::Call {
                call,
                client_ip,
                reply,
            } => {
                let control_reply = match call {
                    ControlCall::FindEdges => {
                        let found = self.edges.find(client_ip, MAX_ADDRESSES, now);
                        directory_reply(found, &self.settings)
                    }
                    _ => ControlReply::NotFound,
                };
                send_reply(reply, control_reply);
            }
            RegistryEvent::PeerConnected { peer, queue } => {
                let node = self.settings.name.clone();
                queue.send(&LinkMessage::DirectoryHello { node });
                self.registries.insert(peer, Some(queue));
            }
            RegistryEvent::PeerReceived { peer, message } => self.apply_message(peer, message, now),
            RegistryEvent::PeerDisconnected { peer } => {
                self.registries.insert(peer, None);
                self.edges.note_lost(peer);
            }
            RegistryEvent::SeedsChanged(seeds) => {
                self.settings.seeds = seeds;
                self.dial_seeds();
            }
            other => tracing::warn!(?other, "ignored an event that a directory does not handle"),
        }
    }

    fn apply_message(&mut self, peer: SocketAddr, message: LinkMessage, now: ClockTime) {
        match message {
            LinkMessage::Fleet { registries, .. } => self.dial(registries),
            LinkMessage::EdgesKnown(view) => self.edges.note_view(peer, view, now),
            other => tracing::warn!(?other, "ignored an unexpected message from a registry"),
        }
    }
}
