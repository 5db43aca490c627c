use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use flume::{
    Receiver,
    Sender, //
};
use ragwortroad_clock::prelude::*;
use ragwortroad_consensus::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_log::prelude::*;
use ragwortroad_settings::prelude::*;
use ragwortroad_telemetry::prelude::*;
use ragwortroad_types::prelude::*;
use rand::random;
use snafu::{
    OptionExt,
    ResultExt, //
};
use tokio::{
    net::TcpListener,
    runtime::Builder,
    task::{
        LocalSet,
        spawn_local, //
    },
    time::{
        sleep,
        timeout, //
    }, //
};

use crate::{
    RegistryError,
    RegistryPort,
    call_server::serve_calls,
    folder_worker::FolderWorker,
    group_seat::{
        GroupSeat,
        SeatStart, //
    },
    peer_dialer::keep_dialled,
    place_keeper::PlaceKeeper,
    registry_error::{
        ListenSnafu,
        MissingSettingSnafu,
        StartSnafu, //
    },
    registry_event::{
        LinkKey,
        RegistryEvent, //
    },
    registry_state::RegistryState, //
};

/// Time for a stopping leader to hand over, and for answers under way to leave.
const STOP_TIME: Duration = Duration::from_millis(600);

/// Most events handled before the clock is read and due work is done.
const EVENTS_A_ROUND: usize = 64;

/// Time without a leader's heartbeat after which another is elected.
///
/// It is above the pauses of a small VM that is busy with a large configuration. Nothing is accepted while there is no leader, so longer is dearer.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(700);

/// Time between two heartbeats of the leader; four may be late before an election.
const HEARTBEAT_EVERY: Duration = Duration::from_millis(150);

/// Time after which an entry is sent again that was not confirmed.
///
/// Links lose nothing while they last; sending a large configuration again that is still on its way
/// would double what a small link carries. This is for what was under way when one broke.
const RESEND_AFTER: Duration = Duration::from_millis(1500);

/// Entries after which the log is folded into a snapshot: there is one configuration to keep.
const SNAPSHOT_ENTRIES: u64 = 500;

/// Bytes after which the log is folded: far below a disk of 128 MB, far above one configuration.
const SNAPSHOT_BYTES: usize = 2 << 20;

/// Bytes of one compressed configuration.
const MAX_COMMAND_BYTES: usize = 900 << 10;

/// Where places of texts are kept, within the data folder.
const PLACES_FOLDER: &str = "places";

/// What a registry is told from outside its loop.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistrySignal {
    /// The settings have changed.
    Reload(Box<ForwardSettings>),
    /// The process is to stop.
    Stop,
}

/// Runs a registry until it is told to stop; `page` is where its metrics are read, if any are kept.
pub fn run_registry(
    settings: ForwardSettings,
    port: RegistryPort,
    signals: Receiver<RegistrySignal>,
    page: Option<MetricsPage>,
) -> Result<(), RegistryError> {
    run_to_end(serve_registry(settings, port, signals, page))
}

/// Runs a process's work to its end, on this thread.
pub(crate) fn run_to_end(
    work: impl Future<Output = Result<(), RegistryError>>,
) -> Result<(), RegistryError> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context(StartSnafu)?;
    runtime.block_on(LocalSet::new().run_until(work))
}

/// Serves the metrics, if any are kept, where the settings name an address.
pub(crate) async fn serve_page(
    page: Option<MetricsPage>,
    settings: &ForwardSettings,
) -> Result<(), RegistryError> {
    if let Some(page) = page {
        spawn_local(page.clone().run_upkeep());
        if let Some(address) = settings.metrics {
            spawn_local(page.serve(listen(address).await?));
        }
    }
    Ok(())
}

async fn serve_registry(
    settings: ForwardSettings,
    port: RegistryPort,
    signals: Receiver<RegistrySignal>,
    page: Option<MetricsPage>,
) -> Result<(), RegistryError> {
    let key = "control";
    let control = settings.control.context(MissingSettingSnafu { key })?;
    let key = "data_folder";
    let folder = settings.data_folder.clone();
    let folder = folder.context(MissingSettingSnafu { key })?;
    let (events, queue) = flume::unbounded();
    let links = listen(settings.inner_bind.unwrap_or(settings.inner)).await?;
    spawn_local(serve_calls(listen(control).await?, port, events.clone()));
    if let Some(directory) = settings.directory.filter(|address| *address != control) {
        spawn_local(serve_calls(listen(directory).await?, port, events.clone()));
    }
    serve_page(page, &settings).await?;
    spawn_local(accept_links(links, events.clone()));
    spawn_local(pass_signals(signals, events.clone()));
    let clock = RealClock::start();
    let folder = FolderSettings {
        path: folder,
        fresh_identity: random(),
        boot_id: current_boot_id(),
        quota_bytes: settings.data_quota,
        ..FolderSettings::default()
    };
    let keeper = PlaceKeeper::start(folder.path.join(PLACES_FOLDER), events.clone());
    let keeper = keeper.context(StartSnafu)?;
    let disk = FolderWorker::start(folder, events.clone()).context(StartSnafu)?;
    let seat = GroupSeat::new(SeatStart {
        node: node_at(settings.inner),
        founders: founders_of(&settings),
        settings: core_settings(&settings),
        disk,
        start: clock.wall_ms(),
        seed: random(),
    });
    let state = RegistryState::new(settings, seat, keeper, clock.now());
    run_loop(state, &clock, &queue, &events).await;
    Ok(())
}

async fn run_loop(
    mut state: RegistryState,
    clock: &RealClock,
    queue: &Receiver<RegistryEvent>,
    events: &Sender<RegistryEvent>,
) {
    let mut stop_at = None;
    loop {
        let wake_at = state.tick(clock.now());
        while let Some(peer) = state.undialled.pop_first() {
            spawn_local(keep_dialled(peer, events.clone()));
        }
        if state.is_stopping {
            let now = clock.now();
            let until = *stop_at.get_or_insert(now.after(STOP_TIME));
            if now >= until {
                break;
            }
        }
        let wait = wake_at.since(clock.now()).max(Duration::from_millis(1));
        if let Ok(Ok(event)) = timeout(wait, queue.recv_async()).await {
            state.handle(event, clock.now());
            for event in queue.try_iter().take(EVENTS_A_ROUND) {
                state.handle(event, clock.now());
            }
        }
    }
    state.seat.join();
    state.keeper.join();
}

/// Accepts connections of edges and other registries.
async fn accept_links(listener: TcpListener, events: Sender<RegistryEvent>) {
    let next_key = Rc::new(Cell::new(0_u64));
    let settings = LinkSettings::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "a link could not be accepted");
                sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        next_key.set(next_key.get() + 1);
        let link = LinkKey(next_key.get());
        let (queue, receiver) = LinkQueue::new(&settings);
        let accepted = RegistryEvent::Accepted {
            link,
            queue: queue.clone(),
        };
        if events.send(accepted).is_err() {
            return;
        }
        let events = events.clone();
        spawn_local(async move {
            let inward = events.clone();
            let say = move |message| {
                if inward.send(RegistryEvent::Said { link, message }).is_err() {
                    tracing::debug!("a message came after the control loop ended");
                }
            };
            let ended = run_link(stream, (queue, receiver), false, &settings, say).await;
            match ended {
                // Two versions of the program that do not understand each other; nothing else
                // would show why an edge stays without a configuration.
                LinkError::InvalidMessage { .. } => tracing::warn!(%ended, "a link ended"),
                _ => tracing::debug!(%ended, "a link ended"),
            }
            if events.send(RegistryEvent::Ended { link }).is_err() {
                tracing::debug!("a link ended after the control loop");
            }
        });
    }
}

pub(crate) async fn pass_signals(signals: Receiver<RegistrySignal>, events: Sender<RegistryEvent>) {
    while let Ok(signal) = signals.recv_async().await {
        let event = match signal {
            RegistrySignal::Reload(settings) => RegistryEvent::Seeds(settings.seeds),
            RegistrySignal::Stop => RegistryEvent::Stop,
        };
        if events.send(event).is_err() {
            return;
        }
    }
}

pub(crate) async fn listen(address: SocketAddr) -> Result<TcpListener, RegistryError> {
    let bound = TcpListener::bind(address).await;
    bound.context(ListenSnafu { address })
}

/// How registries name the VM whose registry listens for links at `inner`.
fn node_at(inner: SocketAddr) -> NodeId {
    NodeId::from_name(&inner.to_string())
}

/// The nodes that found the group: those that the settings name, at the fleet's first start.
fn founders_of(settings: &ForwardSettings) -> Vec<NodeId> {
    if !settings.first_start {
        return Vec::new();
    }
    let port = settings.inner.port();
    let seeds = settings.seeds.iter();
    seeds
        .map(|seed| node_at(SocketAddr::new(seed.ip(), port)))
        .collect()
}

fn core_settings(settings: &ForwardSettings) -> CoreSettings {
    CoreSettings {
        trust_disk: settings.trust_disk,
        election_timeout: ELECTION_TIMEOUT,
        heartbeat_interval: HEARTBEAT_EVERY,
        resend_after: RESEND_AFTER,
        max_command_bytes: MAX_COMMAND_BYTES,
        snapshot_threshold_entries: SNAPSHOT_ENTRIES,
        snapshot_threshold_bytes: SNAPSHOT_BYTES,
        trailing_entries: 100,
        uses_leader_lease: false,
        ..CoreSettings::default()
    }
}
