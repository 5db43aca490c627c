use std::{
    cell::Cell,
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    pin::pin,
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
    select,
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
    consensus_driver::{
        ConsensusDriver,
        DriverOptions, //
    },
    first_start::{
        first_seeds,
        keep_first_seeds, //
    },
    folder_worker::FolderWorker,
    hint_store::HintStore,
    open_calls::OpenCalls,
    origin_store::OriginStore,
    peer_dialer::maintain_peer_link,
    put_flow::MAX_COMMAND_BYTES,
    registry_error::{
        ListenSnafu,
        MissingSettingSnafu,
        StartSnafu, //
    },
    registry_event::{
        LinkKey,
        RegistryEvent, //
    },
    registry_state::RegistryState,
    registry_stores::RegistryStores,
    start_time::StartTime,
    version_store::VersionStore, //
};

/// Time for a stopping leader to hand over leadership.
const HANDOVER_TIME: Duration = Duration::from_millis(600);

/// Part of the grace period that a stopping process does not wait for open calls, so that its disk
/// threads can end.
const GRACE_MARGIN: Duration = Duration::from_secs(1);

/// Maximum number of events handled before the clock is read and due work is done.
const MAX_EVENTS_PER_ROUND: usize = 64;

/// Time without a heartbeat from the leader after which an election starts.
///
/// It exceeds the pauses of a small VM that processes a large configuration. No command is accepted
/// while there is no leader, so a longer timeout prolongs outages.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(700);

/// Time between two heartbeats of the leader. Four may be missed before an election.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// Time after which an unacknowledged entry is sent again.
///
/// Links are reliable while connected. Resending a large configuration that is still in transit
/// would double the traffic of a small link, so this covers only entries lost with a broken link.
const RESEND_TIMEOUT: Duration = Duration::from_millis(1500);

/// Number of entries after which the log is compacted into a snapshot, which holds a single
/// configuration.
const SNAPSHOT_ENTRIES: u64 = 500;

/// Size of the log in bytes after which it is compacted: far below a disk of 128 MB, and far above
/// one configuration.
const SNAPSHOT_BYTES: usize = 2 << 20;

/// Folder of the saved prefix locations, within the data folder.
const LOCATIONS_FOLDER: &str = "places";

/// Folder of the crashes by parts of prompts, within the data folder.
const PARTS_FOLDER: &str = "parts";

/// Folder of the addresses of other registries, within the data folder.
const PEERS_FOLDER: &str = "peers";

/// Folder of the software versions that streams may begin at, within the data folder.
const VERSIONS_FOLDER: &str = "versions";

/// Folder of the software versions that began streams, within the data folder.
const ORIGINS_FOLDER: &str = "origins";

/// A signal to a running registry or directory.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistrySignal {
    /// The settings have changed. Only the seeds are applied.
    Reload(Box<ForwardSettings>),
    /// The process must stop.
    Stop,
}

/// Runs a registry on the current thread until it receives [`RegistrySignal::Stop`].
///
/// `page` serves the metrics at the address from the settings; without it, no metrics are served.
///
/// # Errors
///
/// A setting is missing, an address cannot be bound, or the runtime or a thread cannot start.
pub fn run_registry(
    settings: ForwardSettings,
    port: RegistryPort,
    signals: Receiver<RegistrySignal>,
    page: Option<MetricsPage>,
) -> Result<(), RegistryError> {
    run_on_local_set(serve_registry(settings, port, signals, page))
}

/// Runs a future to completion on a single-threaded runtime on the current thread.
pub(crate) fn run_on_local_set(
    work: impl Future<Output = Result<(), RegistryError>>,
) -> Result<(), RegistryError> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context(StartSnafu)?;
    runtime.block_on(LocalSet::new().run_until(work))
}

/// Serves the metrics page, if there is one, at the address from the settings.
pub(crate) async fn serve_metrics(
    page: Option<MetricsPage>,
    settings: &ForwardSettings,
) -> Result<(), RegistryError> {
    if let Some(page) = &page {
        spawn_local(page.clone().log_traffic());
    }
    if let Some((page, address)) = page.zip(settings.metrics) {
        spawn_local(page.serve(listen(address).await?));
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
    keep_first_seeds(&settings, &folder);
    let (events, queue) = flume::unbounded();
    let links = listen(settings.inner_bind.unwrap_or(settings.inner)).await?;
    let calls = OpenCalls::new();
    let directory = settings.directory.filter(|address| *address != control);
    for address in [Some(control), directory].into_iter().flatten() {
        let listener = listen(address).await?;
        spawn_local(serve_calls(listener, port, events.clone(), &calls));
    }
    serve_metrics(page, &settings).await?;
    spawn_local(accept_links(links, events.clone()));
    spawn_local(forward_signals(signals, events.clone()));
    let clock = RealClock::start();
    let state = start_state(settings, folder, &events, &clock)?;
    run_loop(state, &clock, &queue, &events, &calls).await;
    Ok(())
}

/// Starts the threads that own the files in `folder` and creates the state of a registry.
pub(crate) fn start_state(
    settings: ForwardSettings,
    folder: PathBuf,
    events: &Sender<RegistryEvent>,
    clock: &RealClock,
) -> Result<RegistryState, RegistryError> {
    let started = StartTime {
        clock: clock.now(),
        wall_ms: clock.wall_ms(),
    };
    let initial_members = initial_members_of(&settings, &folder);
    let folder = FolderSettings {
        path: folder,
        fresh_identity: random(),
        boot_id: current_boot_id(),
        min_start: started.wall_ms,
        quota_bytes: settings.data_quota,
        ..FolderSettings::default()
    };
    let location_store = HintStore::start(
        LOCATIONS_FOLDER,
        folder.path.join(LOCATIONS_FOLDER),
        events.clone(),
        RegistryEvent::LocationsLoaded,
    );
    let location_store = location_store.context(StartSnafu)?;
    let part_store = HintStore::start(
        PARTS_FOLDER,
        folder.path.join(PARTS_FOLDER),
        events.clone(),
        RegistryEvent::PartsLoaded,
    );
    let part_store = part_store.context(StartSnafu)?;
    let start_peer_store = || {
        HintStore::start(
            PEERS_FOLDER,
            folder.path.join(PEERS_FOLDER),
            events.clone(),
            RegistryEvent::PeersLoaded,
        )
    };
    let peer_store = settings.mechanisms.recall.then(start_peer_store);
    let version_store = VersionStore::start(folder.path.join(VERSIONS_FOLDER), events.clone());
    let origin_store = OriginStore::start(folder.path.join(ORIGINS_FOLDER), events.clone());
    let stores = RegistryStores {
        versions: version_store.context(StartSnafu)?,
        origins: origin_store.context(StartSnafu)?,
        locations: location_store,
        parts: part_store,
        peers: peer_store.transpose().context(StartSnafu)?,
    };
    let disk = FolderWorker::start(folder, events.clone()).context(StartSnafu)?;
    let driver = ConsensusDriver::new(DriverOptions {
        node: node_id_of(settings.inner),
        initial_members,
        settings: core_settings(&settings),
        disk,
        seed: random(),
    });
    Ok(RegistryState::new(settings, driver, stores, started))
}

async fn run_loop(
    mut state: RegistryState,
    clock: &RealClock,
    queue: &Receiver<RegistryEvent>,
    events: &Sender<RegistryEvent>,
    calls: &OpenCalls,
) {
    let mut drained = pin!(calls.drain(drain_limit(&state.settings)));
    let mut is_drained = false;
    let mut handover_ends_at = None;
    loop {
        let wake_at = state.tick(clock.now());
        while let Some(peer) = state.undialled.pop_first() {
            spawn_local(maintain_peer_link(peer, events.clone()));
        }
        if state.is_stopping {
            let now = clock.now();
            calls.stop();
            let until = *handover_ends_at.get_or_insert(now.after(HANDOVER_TIME));
            if is_drained && now >= until {
                break;
            }
        }
        let wait = wake_at.since(clock.now()).max(Duration::from_millis(1));
        let received = select! {
            received = timeout(wait, queue.recv_async()) => received,
            () = &mut drained, if !is_drained => {
                is_drained = true;
                continue;
            }
        };
        if let Ok(Ok(event)) = received {
            state.handle(event, clock.now());
            for event in queue.try_iter().take(MAX_EVENTS_PER_ROUND) {
                state.handle(event, clock.now());
            }
        }
    }
    tracing::info!("stopped");
    state.driver.join();
    state.stores.join();
}

/// Time after which a stopping process no longer waits for open calls.
pub(crate) fn drain_limit(settings: &ForwardSettings) -> Duration {
    settings.grace.saturating_sub(GRACE_MARGIN)
}

/// Accepts connections from edges, directories and other registries.
async fn accept_links(listener: TcpListener, events: Sender<RegistryEvent>) {
    let next_key = Rc::new(Cell::new(0_u64));
    let settings = LinkSettings::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "failed to accept a link");
                sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        next_key.set(next_key.get() + 1);
        let link = LinkKey(next_key.get());
        let (queue, receiver) = LinkQueue::new(&settings);
        let accepted = RegistryEvent::LinkAccepted {
            link,
            queue: queue.clone(),
        };
        if events.send(accepted).is_err() {
            return;
        }
        let events = events.clone();
        spawn_local(async move {
            let message_events = events.clone();
            let forward = move |message| {
                if message_events
                    .send(RegistryEvent::Received { link, message })
                    .is_err()
                {
                    tracing::debug!("dropped a message that arrived after the control loop ended");
                }
            };
            let ended = run_link(stream, (queue, receiver), false, &settings, forward).await;
            match ended {
                // The two programs run incompatible versions. Nothing else would show why an edge
                // stays without a configuration.
                LinkError::InvalidMessage { .. } => tracing::warn!(%ended, "link ended"),
                _ => tracing::debug!(%ended, "link ended"),
            }
            if events.send(RegistryEvent::LinkClosed { link }).is_err() {
                tracing::debug!("a link ended after the control loop had ended");
            }
        });
    }
}

pub(crate) async fn forward_signals(
    signals: Receiver<RegistrySignal>,
    events: Sender<RegistryEvent>,
) {
    while let Ok(signal) = signals.recv_async().await {
        let event = match signal {
            RegistrySignal::Reload(settings) => RegistryEvent::SeedsChanged(settings.seeds),
            RegistrySignal::Stop => RegistryEvent::Stop,
        };
        if events.send(event).is_err() {
            return;
        }
    }
}

pub(crate) async fn listen(address: SocketAddr) -> Result<TcpListener, RegistryError> {
    let bound = bind_listener(address).await;
    bound.context(ListenSnafu { address })
}

/// Node identity of the registry that listens for links at `inner`.
pub(crate) fn node_id_of(inner: SocketAddr) -> NodeId {
    NodeId::from_name(&inner.to_string())
}

/// The nodes that bootstrap the group: the seeds of the fleet's first start.
fn initial_members_of(settings: &ForwardSettings, folder: &Path) -> Vec<NodeId> {
    let port = settings.inner.port();
    let seeds = first_seeds(settings, folder);
    seeds
        .iter()
        .map(|seed| node_id_of(SocketAddr::new(seed.ip(), port)))
        .collect()
}

fn core_settings(settings: &ForwardSettings) -> CoreSettings {
    CoreSettings {
        trust_disk: settings.trust_disk,
        election_timeout: ELECTION_TIMEOUT,
        heartbeat_interval: HEARTBEAT_INTERVAL,
        resend_after: RESEND_TIMEOUT,
        max_command_bytes: MAX_COMMAND_BYTES,
        snapshot_threshold_entries: SNAPSHOT_ENTRIES,
        snapshot_threshold_bytes: SNAPSHOT_BYTES,
        trailing_entries: 100,
        uses_leader_lease: false,
        recalls_commit: settings.mechanisms.recall,
        ..CoreSettings::default()
    }
}
