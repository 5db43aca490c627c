use std::{net::SocketAddr, sync::Arc, time::Duration};

use flume::Sender;
use snafu::ResultExt;
use tokio::{
    net::{
        TcpListener,
        TcpSocket, //
    },
    runtime::{
        Builder,
        Runtime, //
    },
    sync::{
        mpsc,
        watch, //
    },
    task::JoinHandle,
    time::timeout, //
};

use crate::{
    ControlCall,
    GatewayError,
    GatewayPages,
    GatewaySettings,
    cancel_worker::run_cancels,
    connection_loop::run_connections,
    gateway_error::{
        ListenSnafu,
        StartRuntimeSnafu, //
    },
    gateway_state::GatewayState, //
};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Time for connections to close once no request is in flight.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP towards callers, endpoints and operators, on its own traffic threads.
pub struct GatewayServer {
    state: Arc<GatewayState>,
    address: SocketAddr,
    runtime: Runtime,
    stop: watch::Sender<bool>,
    connections: JoinHandle<()>,
    cancels: JoinHandle<()>,
}

impl GatewayServer {
    /// Listens and serves. Every decision is asked for over `calls`, which should be unbounded:
    /// a traffic thread that ends an attempt sends without waiting.
    pub fn start(
        settings: GatewaySettings,
        calls: Sender<ControlCall>,
        pages: GatewayPages,
    ) -> Result<Self, GatewayError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(settings.traffic_threads.max(1))
            .thread_name("traffic")
            .enable_all()
            .build()
            .context(StartRuntimeSnafu)?;
        let address = settings.listen;
        let listener = {
            let _entered = runtime.enter();
            listen_at(address).context(ListenSnafu { address })?
        };
        let address = listener.local_addr().context(ListenSnafu { address })?;
        let (cancel_sender, cancel_receiver) = mpsc::unbounded_channel();
        let (stop, stopped) = watch::channel(false);
        let state = Arc::new(GatewayState::new(settings, calls, pages, cancel_sender));
        let accept_loop = run_connections(Arc::clone(&state), listener, stopped.clone());
        let connections = runtime.spawn(accept_loop);
        let cancels = runtime.spawn(run_cancels(cancel_receiver, stopped));
        Ok(Self {
            state,
            address,
            runtime,
            stop,
            connections,
            cancels,
        })
    }

    /// The address it listens on.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// From now on refuses new requests with other nodes' addresses; those in flight go on.
    pub fn begin_drain(&self) {
        self.state.begin_drain();
    }

    /// Requests between their head and the last byte of their answer.
    pub fn in_flight(&self) -> usize {
        self.state.in_flight()
    }

    /// Drains, waits for every request in flight, and joins all tasks and threads.
    ///
    /// The control thread must answer until this returns. No request waits longer than its
    /// deadline, so neither does this.
    pub fn join(self) {
        self.begin_drain();
        let Self {
            state,
            runtime,
            stop,
            connections,
            cancels,
            ..
        } = self;
        runtime.block_on(async {
            state.wait_until_idle().await;
            stop.send_replace(true);
            let close_tasks = async {
                for task in [connections, cancels] {
                    if let Err(error) = task.await {
                        tracing::error!(%error, "a task of the gateway failed");
                    }
                }
            };
            if timeout(CLOSE_TIMEOUT, close_tasks).await.is_err() {
                tracing::warn!("connections without a request were cut");
            }
            state.pool.clear();
        });
        // Dropping the runtime joins its threads; tasks that are left are dropped at once.
        drop(runtime);
    }

    /// Cuts every connection at once and joins the threads, as the end of a killed process does.
    #[doc(hidden)]
    pub fn abort(self) {
        drop(self.runtime);
    }
}

/// A listener that can take the address of a process that ended a moment ago. Needs a runtime.
fn listen_at(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
