use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use flume::Receiver;
use ragwortroad_clock::prelude::*;
use ragwortroad_dispatch::prelude::*;
use ragwortroad_link::prelude::*;
use ragwortroad_settings::prelude::*;
use ragwortroad_telemetry::prelude::*;
use snafu::{
    OptionExt,
    ResultExt, //
};
use tokio::{
    net::TcpListener,
    runtime::Builder,
    sync::{
        Notify,
        watch, //
    },
    task::{
        LocalSet,
        spawn_local, //
    },
    time::{
        Instant,
        sleep, //
    }, //
};

use crate::{
    EdgeError,
    EdgePort,
    byte_budget::ByteBudget,
    client_table::ClientTable,
    config_exchange::serve_configs,
    config_update::refresh_config,
    connection_pool::ConnectionPool,
    customer_flow::weights_by_tag,
    domain_probe::probe_domains,
    edge_error::{
        ListenSnafu,
        MissingSettingSnafu,
        StartSnafu, //
    },
    edge_links::dial_seeds,
    edge_state::{
        EdgeShared,
        EdgeState, //
    },
    http_server::{
        serve_clients,
        serve_readiness, //
    },
    partial_bytes::PartialBytes,
    scarce_services::may_lead,
    service_contact::probe_services, //
};

/// Interval of the periodic tasks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of ticks between two log lines about endpoint updates.
const UPDATE_LOG_TICKS: u32 = 10;

/// Number of ticks between two looks at the software versions of all endpoints.
const VERSION_REFRESH_TICKS: u32 = 50;

/// Minimum number of ticks between load reports to the home registry.
const LOAD_REPORT_TICKS: u32 = 2;

/// Minimum time for which a draining edge accepts new requests, from clients that still resolve to
/// it.
///
/// Directory responses are cached for two seconds, by some clients for six.
const MIN_DRAIN: Duration = Duration::from_millis(2500);

/// Time without a new request after which a draining edge assumes that its clients have moved.
const DRAIN_QUIET_PERIOD: Duration = Duration::from_millis(1500);

/// Safety margin before the end of the grace period at which a draining edge stops in any case.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// Time before shutdown at which pending requests get an error response.
///
/// An unresponsive endpoint holds a request until its deadline. If the process just ended, the
/// client would see its connection break without being told what is known about the request.
const FINAL_RESPONSE_WINDOW: Duration = Duration::from_millis(600);

/// Signals from the process that hosts the edge.
#[derive(Clone, Debug, PartialEq)]
pub enum EdgeSignal {
    /// The settings have changed.
    Reload(Box<ForwardSettings>),
    /// Drain and stop.
    Stop,
}

/// Runs an edge until it receives [`EdgeSignal::Stop`] and has drained.
///
/// `page` exposes its metrics; `None` if metrics are disabled. Fails if a required setting is
/// missing, an address cannot be bound, or the runtime cannot be created.
pub fn run_edge(
    settings: ForwardSettings,
    port: EdgePort,
    signals: Receiver<EdgeSignal>,
    page: Option<MetricsPage>,
) -> Result<(), EdgeError> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context(StartSnafu)?;
    let local = LocalSet::new();
    runtime.block_on(local.run_until(serve_edge(settings, port, signals, page)))
}

async fn serve_edge(
    settings: ForwardSettings,
    port: EdgePort,
    signals: Receiver<EdgeSignal>,
    page: Option<MetricsPage>,
) -> Result<(), EdgeError> {
    let key = "callers";
    let clients = settings.callers.context(MissingSettingSnafu { key })?;
    let key = "readiness";
    let readiness = settings.readiness.context(MissingSettingSnafu { key })?;
    let clients = listen(clients).await?;
    let readiness = listen(readiness).await?;
    let inner = listen(settings.inner_bind.unwrap_or(settings.inner)).await?;
    if let Some(page) = &page {
        spawn_local(page.clone().log_traffic());
    }
    if let Some((page, address)) = page.zip(settings.metrics) {
        spawn_local(page.serve(listen(address).await?));
    }
    let seeds = settings.seeds.clone();
    let bodies = ByteBudget::for_memory(settings.memory_bytes);
    let partial_events = PartialBytes::for_memory(settings.memory_bytes);
    let partial_bodies = PartialBytes::for_memory(settings.memory_bytes);
    let mut state = EdgeState::default();
    state.fetch = ConfigFetch::new(settings.mechanisms.recall);
    let shared = Rc::new(EdgeShared {
        settings,
        port,
        clock: RealClock::start(),
        state: RefCell::new(state),
        pool: ConnectionPool::default(),
        bodies,
        partial_events: RefCell::new(partial_events),
        partial_bodies: RefCell::new(partial_bodies),
        clients: Rc::new(ClientTable::default()),
        relay_key: RelayKey(rand::random()),
        stop: Notify::new(),
        shutdown_imminent: watch::Sender::new(false),
        request_interval: watch::Sender::new(ClientLimits::default().request_interval()),
    });
    shared.state.borrow_mut().customer_weights = weights_by_tag(&shared.settings.customer_weights);
    dial_seeds(&shared, &seeds);
    spawn_local(serve_clients(Rc::clone(&shared), clients));
    spawn_local(serve_readiness(Rc::clone(&shared), readiness));
    spawn_local(serve_configs(Rc::clone(&shared), inner));
    spawn_local(run_ticks(Rc::clone(&shared)));
    spawn_local(probe_domains(Rc::clone(&shared)));
    spawn_local(follow_signals(Rc::clone(&shared), signals));
    shared.stop.notified().await;
    drain(&shared).await;
    Ok(())
}

/// Runs the periodic tasks: expiry, home selection, load reports, limits and configuration
/// requests.
async fn run_ticks(shared: Rc<EdgeShared>) {
    let mut tick = 0_u32;
    loop {
        sleep(TICK_INTERVAL).await;
        let now = shared.now();
        let mut state = shared.state.borrow_mut();
        state.expire(now);
        state.update_home(&shared.settings.name, shared.uptime(), now);
        match shared.settings.mechanisms.told_places {
            true => state.send_locations(),
            false => state.unsent_locations.clear(),
        }
        if may_lead(&shared.settings.mechanisms) {
            state.update_keepers(now);
        }
        state.set_limits(now);
        state.send_crashes(now);
        state.set_gauges(now);
        tick += 1;
        if tick.is_multiple_of(VERSION_REFRESH_TICKS) {
            state.refresh_versions(now);
        }
        if tick.is_multiple_of(UPDATE_LOG_TICKS) {
            let ready = state.endpoints.ready_count();
            state.update_counts.log(ready);
        }
        // Each registry is the home of its share of the edges.
        let registries = state.registries.len().max(1) as u32;
        let pace = load_interval_factor(state.edges.div_ceil(registries));
        let is_due = tick.is_multiple_of(LOAD_REPORT_TICKS * pace);
        if is_due && shared.settings.mechanisms.told_loads {
            state.send_loads(now);
        }
        if is_due && shared.settings.mechanisms.customer_shares {
            state.send_customer_loads(now);
        }
        drop(state);
        metrics::gauge!(metric_names::BODY_BYTES).set(shared.bodies.held() as f64);
        shared.pool.expire(now);
        probe_services(&shared);
        refresh_config(&shared);
    }
}

async fn follow_signals(shared: Rc<EdgeShared>, signals: Receiver<EdgeSignal>) {
    while let Ok(signal) = signals.recv_async().await {
        match signal {
            EdgeSignal::Reload(settings) => {
                tracing::info!(seeds = settings.seeds.len(), "settings reloaded");
                dial_seeds(&shared, &settings.seeds);
            }
            EdgeSignal::Stop => shared.stop.notify_one(),
        }
    }
}

/// Marks this edge as draining and waits for requests in flight.
///
/// Idle connections stay open: closing one could lose a request that a client sends at the same
/// moment. Instead, each response from now on closes its connection.
async fn drain(shared: &EdgeShared) {
    let started_at = shared.now();
    let limit = shared.settings.grace.saturating_sub(GRACE_MARGIN);
    begin_drain(&mut shared.state.borrow_mut(), limit);
    loop {
        sleep(TICK_INTERVAL).await;
        let now = shared.now();
        if now.since(started_at) + FINAL_RESPONSE_WINDOW >= limit {
            shared.shutdown_imminent.send_replace(true);
        }
        let state = shared.state.borrow();
        let is_quiet = now.since(state.last_activity_at) > DRAIN_QUIET_PERIOD;
        let is_idle = state.in_flight == 0 && !shared.clients.has_unsent();
        let is_done = is_idle && is_quiet && now.since(started_at) > MIN_DRAIN;
        if is_done || now.since(started_at) >= limit {
            tracing::info!(in_flight = state.in_flight, "stopped");
            return;
        }
    }
}

fn begin_drain(state: &mut EdgeState, limit: Duration) {
    tracing::info!(in_flight = state.in_flight, "draining");
    let time_left = limit.saturating_sub(FINAL_RESPONSE_WINDOW);
    state.final_responses_at = Some(Instant::now() + time_left);
    state.set_stage(EdgeStage::Draining);
}

async fn listen(address: SocketAddr) -> Result<TcpListener, EdgeError> {
    let bound = bind_listener(address).await;
    bound.context(ListenSnafu { address })
}
