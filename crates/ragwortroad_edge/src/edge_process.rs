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
    config_exchange::serve_configs,
    config_update::refresh_config,
    connection_pool::ConnectionPool,
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
    }, //
};

/// Time between two rounds of what is done from time to time.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Rounds after which the registry that adds loads up is told this edge's.
const LOAD_REPORT_TICKS: u32 = 2;

/// Time for which a stopping edge goes on taking callers who have not heard of it.
///
/// The directory's answers are kept for two seconds, by some for six.
const MIN_DRAIN: Duration = Duration::from_millis(2500);

/// Time without a new request after which a stopping edge takes it that its callers have moved.
const DRAIN_QUIET_PERIOD: Duration = Duration::from_millis(1500);

/// Time before the end of the grace time at which a stopping edge ends in any case.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// Time before the end at which requests without an answer are told that none will come.
///
/// An endpoint that has gone silent holds a request until its deadline. Cut with the process, its
/// caller would see a connection that broke for no reason, and not be told what is known.
const FINAL_RESPONSE_WINDOW: Duration = Duration::from_millis(600);

/// What an edge is told from outside its tasks.
#[derive(Clone, Debug, PartialEq)]
pub enum EdgeSignal {
    /// The settings have changed.
    Reload(Box<ForwardSettings>),
    /// The process is to stop.
    Stop,
}

/// Runs an edge until it is told to stop; `page` is where its metrics are read, if they are kept.
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
    let callers = settings.callers.context(MissingSettingSnafu { key })?;
    let key = "readiness";
    let readiness = settings.readiness.context(MissingSettingSnafu { key })?;
    let callers = listen(callers).await?;
    let readiness = listen(readiness).await?;
    let inner = listen(settings.inner_bind.unwrap_or(settings.inner)).await?;
    if let Some(page) = page {
        spawn_local(page.clone().run_upkeep());
        if let Some(address) = settings.metrics {
            spawn_local(page.serve(listen(address).await?));
        }
    }
    let seeds = settings.seeds.clone();
    let shared = Rc::new(EdgeShared {
        settings,
        port,
        clock: RealClock::start(),
        state: RefCell::new(EdgeState::default()),
        pool: ConnectionPool::default(),
        stop: Notify::new(),
        shutdown_imminent: watch::Sender::new(false),
    });
    dial_seeds(&shared, &seeds);
    spawn_local(serve_clients(Rc::clone(&shared), callers));
    spawn_local(serve_readiness(Rc::clone(&shared), readiness));
    spawn_local(serve_configs(Rc::clone(&shared), inner));
    spawn_local(run_ticks(Rc::clone(&shared)));
    spawn_local(probe_domains(Rc::clone(&shared)));
    spawn_local(follow_signals(Rc::clone(&shared), signals));
    shared.stop.notified().await;
    drain(&shared).await;
    Ok(())
}

/// Does what is due from time to time.
async fn run_ticks(shared: Rc<EdgeShared>) {
    let mut tick = 0_u32;
    loop {
        sleep(TICK_INTERVAL).await;
        let now = shared.now();
        let mut state = shared.state.borrow_mut();
        for key in state.endpoints.expire(now) {
            state.loads.remove(&key);
            state.prefixes.forget(key);
        }
        state.warmups.expire(now);
        state.update_home(&shared.settings.name, shared.uptime());
        match shared.settings.mechanisms.told_places {
            true => state.send_locations(),
            false => state.unsent_locations.clear(),
        }
        state.set_limits(now);
        state.set_gauges();
        tick += 1;
        // A registry is the home of its part of the edges.
        let registries = state.registries.len().max(1) as u32;
        let pace = load_pace(state.edges.div_ceil(registries));
        let is_due = tick.is_multiple_of(LOAD_REPORT_TICKS * pace);
        if is_due && shared.settings.mechanisms.told_loads {
            state.send_loads();
        }
        drop(state);
        shared.pool.expire(now);
        refresh_config(&shared);
    }
}

async fn follow_signals(shared: Rc<EdgeShared>, signals: Receiver<EdgeSignal>) {
    while let Ok(signal) = signals.recv_async().await {
        match signal {
            EdgeSignal::Reload(settings) => {
                tracing::info!(seeds = settings.seeds.len(), "settings read again");
                dial_seeds(&shared, &settings.seeds);
            }
            EdgeSignal::Stop => shared.stop.notify_one(),
        }
    }
}

/// Takes this edge out of the directory and lets what is under way end.
///
/// Idle connections stay open: a caller that has not heard yet would lose the request that crosses
/// the close. Each answer from now on closes its connection instead.
async fn drain(shared: &EdgeShared) {
    let begun = shared.now();
    let limit = shared.settings.grace.saturating_sub(GRACE_MARGIN);
    begin_drain(&mut shared.state.borrow_mut(), limit);
    loop {
        sleep(TICK_INTERVAL).await;
        let now = shared.now();
        if now.since(begun) + FINAL_RESPONSE_WINDOW >= limit {
            shared.shutdown_imminent.send_replace(true);
        }
        let state = shared.state.borrow();
        let is_quiet = now.since(state.last_activity_at) > DRAIN_QUIET_PERIOD;
        let is_done = state.in_flight == 0 && is_quiet && now.since(begun) > MIN_DRAIN;
        if is_done || now.since(begun) >= limit {
            tracing::info!(in_flight = state.in_flight, "stopped");
            return;
        }
    }
}

fn begin_drain(state: &mut EdgeState, limit: Duration) {
    tracing::info!(in_flight = state.in_flight, "stopping");
    state.shutdown_at = Some(Instant::now() + limit);
    state.set_stage(EdgeStage::Draining);
}

async fn listen(address: SocketAddr) -> Result<TcpListener, EdgeError> {
    let bound = TcpListener::bind(address).await;
    bound.context(ListenSnafu { address })
}
