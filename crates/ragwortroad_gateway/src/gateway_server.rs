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

/// Maximum number of connections waiting to be accepted.
const BACKLOG: u32 = 1024;

/// Time limit for closing the connections once no request is in flight.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP server for clients, endpoints and operators, on its own traffic threads.
pub struct GatewayServer {
    state: Arc<GatewayState>,
    address: SocketAddr,
    runtime: Runtime,
    stop: watch::Sender<bool>,
    connections: JoinHandle<()>,
    cancels: JoinHandle<()>,
}

impl GatewayServer {
    /// Binds the listener and starts to serve.
    ///
    /// The gateway sends all decisions to the control thread over `calls`. The channel should be
    /// unbounded, because a traffic thread that ends an attempt sends without waiting.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or the threads cannot be started.
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

    /// The bound address, with the actual port if the settings named port 0.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Starts refusing new requests, naming other nodes to the client; requests in flight continue.
    pub fn begin_drain(&self) {
        self.state.begin_drain();
    }

    /// Number of requests between their head and the last byte of their response.
    pub fn in_flight(&self) -> usize {
        self.state.in_flight()
    }

    /// Drains, waits for every request in flight, and joins all tasks and threads.
    ///
    /// The control thread must reply until this returns. The wait is bounded, because no request
    /// waits longer than its deadline.
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
                        tracing::error!(%error, "gateway task failed");
                    }
                }
            };
            if timeout(CLOSE_TIMEOUT, close_tasks).await.is_err() {
                tracing::warn!("closed connections that did not shut down in time");
            }
            state.pool.clear();
        });
        // Dropping the runtime joins its threads and drops the remaining tasks immediately.
        drop(runtime);
    }

    /// Closes every connection immediately and joins the threads, as if the process had been
    /// killed.
    #[doc(hidden)]
    pub fn abort(self) {
        drop(self.runtime);
    }
}

/// Binds a listener with address reuse, so that it can take over the address of a process that has
/// just ended. Must be called within a runtime.
fn listen_at(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
