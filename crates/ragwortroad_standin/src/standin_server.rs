use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use hyper::{
    Request,
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
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
    task::JoinSet,
    time::sleep, //
};

use crate::{
    FaultPlan,
    RunRecord,
    RunStatus,
    StandinError,
    standin_error::{
        ListenSnafu,
        ThreadsSnafu, //
    },
    standin_reply::StandinReply, //
};

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Interval at which a stand-in checks whether to refuse connections or to listen again.
const LISTEN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State of every stand-in: its injected faults and its run records.
pub(crate) struct StandinState {
    started: Instant,
    faults: Mutex<FaultPlan>,
    has_crashed: AtomicBool,
    records: Mutex<Vec<RunRecord>>,
    /// When it responded with [`FaultPlan::status`].
    rejections: Mutex<Vec<Instant>>,
}

impl StandinState {
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
            faults: Mutex::default(),
            has_crashed: AtomicBool::new(false),
            records: Mutex::default(),
            rejections: Mutex::default(),
        }
    }

    pub(crate) fn started(&self) -> Instant {
        self.started
    }

    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub(crate) fn set_faults(&self, plan: FaultPlan) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = plan;
    }

    /// Returns the faults for the next request and counts the request against
    /// [`FaultPlan::max_requests`].
    pub(crate) fn next_faults(&self) -> FaultPlan {
        let mut plan = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        match &mut plan.max_requests {
            None => plan.clone(),
            Some(0) => FaultPlan::default(),
            Some(remaining) => {
                *remaining -= 1;
                plan.clone()
            }
        }
    }

    pub(crate) fn refuses_connections(&self) -> bool {
        let plan = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        plan.refuse_connections
    }

    pub(crate) fn has_crashed(&self) -> bool {
        self.has_crashed.load(Ordering::SeqCst)
    }

    /// Refuses all further connections and closes the open ones.
    pub(crate) fn crash(&self) {
        self.has_crashed.store(true, Ordering::SeqCst);
        let mut plan = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        *plan = FaultPlan {
            refuse_connections: true,
            ..FaultPlan::default()
        };
    }

    pub(crate) fn records(&self) -> Vec<RunRecord> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.clone()
    }

    pub(crate) fn rejections(&self) -> Vec<Instant> {
        let rejections = self.rejections.lock();
        rejections.unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn record_rejection(&self) {
        let rejections = self.rejections.lock();
        let mut rejections = rejections.unwrap_or_else(PoisonError::into_inner);
        rejections.push(Instant::now());
    }

    /// Records the start of a run and returns the index of its record.
    pub(crate) fn begin_run(&self, record: RunRecord) -> usize {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.push(record);
        records.len() - 1
    }

    pub(crate) fn update_run(&self, run_index: usize, change: impl FnOnce(&mut RunRecord)) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(record) = records.get_mut(run_index) {
            change(record);
        }
    }

    /// Records the end of a run, unless it has already ended.
    pub(crate) fn end_run(&self, run_index: usize, end: RunStatus) {
        let now = self.elapsed_ms();
        self.update_run(run_index, |record| {
            if record.end == RunStatus::Running {
                record.end = end;
                record.ended_ms = Some(now);
            }
        });
    }
}

/// The threads and sockets of one stand-in.
///
/// Stand-ins use `hyper` since `tiny_http` gives no control over its connections: it can neither
/// abort a response midway nor close open connections, and those are the most important faults.
pub(crate) struct StandinServer {
    address: SocketAddr,
    runtime: Runtime,
}

impl StandinServer {
    /// Starts listening, and serves each request with `handle`.
    pub(crate) fn start<Handle, Reply>(
        listen: SocketAddr,
        threads: usize,
        state: Arc<StandinState>,
        handle: Handle,
    ) -> Result<Self, StandinError>
    where
        Handle: Fn(Request<Incoming>) -> Reply + Clone + Send + Sync + 'static,
        Reply: Future<Output = StandinReply> + Send + 'static,
    {
        let runtime = Builder::new_multi_thread()
            .worker_threads(threads.max(1))
            .thread_name("standin")
            .enable_all()
            .build()
            .context(ThreadsSnafu)?;
        let listener = {
            let _guard = runtime.enter();
            bind(listen).context(ListenSnafu { address: listen })?
        };
        let address = listener
            .local_addr()
            .context(ListenSnafu { address: listen })?;
        runtime.spawn(serve(listener, address, state, handle));
        Ok(Self { address, runtime })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and joins the threads.
    pub(crate) fn stop(self) {
        drop(self.runtime);
    }
}

/// Binds a listener, even if a previous listener on the address has just closed. Must be called
/// within a Tokio runtime.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

async fn serve<Handle, Reply>(
    listener: TcpListener,
    address: SocketAddr,
    state: Arc<StandinState>,
    handle: Handle,
) where
    Handle: Fn(Request<Incoming>) -> Reply + Clone + Send + Sync + 'static,
    Reply: Future<Output = StandinReply> + Send + 'static,
{
    let mut bound_listener = Some(listener);
    loop {
        let listener = bound_listener.take().map_or_else(|| bind(address), Ok);
        let Ok(listener) = listener else {
            sleep(LISTEN_POLL_INTERVAL).await;
            continue;
        };
        accept(listener, &state, &handle).await;
        while state.refuses_connections() {
            sleep(LISTEN_POLL_INTERVAL).await;
        }
    }
}

/// Accepts connections until the faults say to refuse them, then closes all open connections.
async fn accept<Handle, Reply>(listener: TcpListener, state: &Arc<StandinState>, handle: &Handle)
where
    Handle: Fn(Request<Incoming>) -> Reply + Clone + Send + Sync + 'static,
    Reply: Future<Output = StandinReply> + Send + 'static,
{
    let mut connections = JoinSet::new();
    while !state.refuses_connections() {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                if stream.set_nodelay(true).is_err() {
                    continue;
                }
                let service = service_fn(handle.clone());
                let connection = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                connections.spawn(async move {
                    if let Err(error) = connection.await {
                        tracing::debug!(%error, "stand-in connection ended with an error");
                    }
                });
            }
            Some(_) = connections.join_next() => {}
            () = sleep(LISTEN_POLL_INTERVAL) => {}
        }
    }
    // The end of a process closes its listener before its connections, too.
    drop(listener);
}
