use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
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

/// Connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// How often a stand-in that refuses connections looks whether it may listen again.
const LISTEN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What every stand-in has: faults that are set, and records of what it ran.
pub(crate) struct StandinState {
    started: Instant,
    faults: Mutex<FaultPlan>,
    records: Mutex<Vec<RunRecord>>,
}

impl StandinState {
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
            faults: Mutex::default(),
            records: Mutex::default(),
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

    /// The faults for one more request, which counts as one of those they apply to.
    pub(crate) fn next_faults(&self) -> FaultPlan {
        let mut plan = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        match &mut plan.max_requests {
            None => plan.clone(),
            Some(0) => FaultPlan::default(),
            Some(left) => {
                *left -= 1;
                plan.clone()
            }
        }
    }

    pub(crate) fn refuses_connections(&self) -> bool {
        let plan = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        plan.refuse_connections
    }

    pub(crate) fn records(&self) -> Vec<RunRecord> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.clone()
    }

    /// Writes down that a run begins, and returns its run_index.
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

    /// Writes down how a run ended, once.
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
/// The stand-ins are servers on `hyper`: `tiny_http` gives no hold on its connections, so a
/// stand-in on it could neither break off in the middle of an answer nor stop serving connections
/// that are open, and those are the faults that matter most.
pub(crate) struct StandinServer {
    address: SocketAddr,
    runtime: Runtime,
}

impl StandinServer {
    /// Listens, and serves each request by `handle`.
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
            let _entered = runtime.enter();
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

    /// Cuts every connection and joins the threads.
    pub(crate) fn stop(self) {
        drop(self.runtime);
    }
}

/// Listens at an address, also right after another listener there closed. Needs a runtime.
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
    let mut waiting = Some(listener);
    loop {
        let bound = waiting.take().map_or_else(|| bind(address), Ok);
        let Ok(listener) = bound else {
            sleep(LISTEN_POLL_INTERVAL).await;
            continue;
        };
        accept(listener, &state, &handle).await;
        while state.refuses_connections() {
            sleep(LISTEN_POLL_INTERVAL).await;
        }
    }
}

/// Accepts connections until the faults say to refuse them; that also cuts those that are open.
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
                        tracing::debug!(%error, "a stand-in's connection ended");
                    }
                });
            }
            Some(_) = connections.join_next() => {}
            () = sleep(LISTEN_POLL_INTERVAL) => {}
        }
    }
}
