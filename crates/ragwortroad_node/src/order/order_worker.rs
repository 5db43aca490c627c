use std::{
    collections::BTreeSet,
    io,
    net::SocketAddr,
    thread::{
        Builder,
        JoinHandle, //
    },
    time::Duration, //
};

use bytes::Bytes;
use flume::{
    Receiver,
    Sender, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::{
    Method,
    Request,
    client::conn::http1::handshake,
    header::{
        CONTENT_TYPE,
        HOST, //
    }, //
};
use hyper_util::rt::TokioIo;
use ragwortroad_clock::prelude::*;
use ragwortroad_http::prelude::*;
use ragwortroad_state::prelude::*;
use ragwortroad_types::prelude::*;
use snafu::ResultExt;
use socket2::SockRef;
use tokio::{
    net::TcpStream,
    runtime,
    task::JoinSet,
    time::timeout, //
};

use crate::{
    member::state_replica::MAX_ORDER_FLIGHT,
    node_error::{
        NodeError,
        ThreadSnafu, //
    },
    order::order_report::{
        OrderEnd,
        OrderReport,
        OrderTask, //
    },
};

/// The thread that sends orders to engines.
///
/// An engine that doesn't respond must delay neither the control thread nor the orders to other
/// engines, so all orders in flight run concurrently on this thread.
#[derive(Debug)]
pub(crate) struct OrderWorker {
    tasks: Sender<OrderTask>,
    reports: Receiver<OrderReport>,
    thread: JoinHandle<()>,
}

/// Timeout for opening a connection. Nothing is sent before it is open, so this time is not part of
/// an order's time in flight.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time in which the engine's kernel must acknowledge what was written; otherwise the local kernel
/// closes the connection and retransmits nothing. It holds even while this process is paused.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time an engine may keep an order queued after its arrival.
const MAX_ENGINE_QUEUE_TIME: Duration = Duration::from_secs(2);

/// Timeout for a response, which the engine sends when a load has completed.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(120);

/// Maximum size of a response that is read.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Maximum number of orders in flight.
const MAX_TASKS: usize = 256;

/// These timeouts must add up to less than the maximum time in flight, to leave time for the
/// instructions between the check and the write.
const _: () = assert!(
    DELIVERY_TIMEOUT.as_millis() + MAX_ENGINE_QUEUE_TIME.as_millis() < MAX_ORDER_FLIGHT.as_millis(),
    "an order could take effect after the next leader's wait"
);

impl OrderWorker {
    /// Starts the thread.
    pub(crate) fn start(clock: RealClock) -> Result<Self, NodeError> {
        let (tasks, queue) = flume::unbounded();
        let (results, reports) = flume::unbounded();
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context(ThreadSnafu { name: "orders" })?;
        let thread = Builder::new()
            .name("orders".to_owned())
            .spawn(move || runtime.block_on(serve_tasks(&queue, &results, clock)))
            .context(ThreadSnafu { name: "orders" })?;
        Ok(Self {
            tasks,
            reports,
            thread,
        })
    }

    /// Queues an order. One that is still in flight is not sent a second time.
    pub(crate) fn send(&self, task: OrderTask) {
        if self.tasks.send(task).is_err() {
            tracing::error!("the order thread has ended; engines get no orders from this node");
        }
    }

    /// Returns the reports since the last call.
    pub(crate) fn reports(&self) -> Vec<OrderReport> {
        self.reports.try_iter().collect()
    }

    /// Aborts the orders in flight and joins the thread.
    pub(crate) fn join(self) {
        drop(self.tasks);
        if self.thread.join().is_err() {
            tracing::error!("the order thread panicked");
        }
    }
}

/// Sends orders until the control thread drops its sender.
async fn serve_tasks(queue: &Receiver<OrderTask>, results: &Sender<OrderReport>, clock: RealClock) {
    let mut in_flight = JoinSet::new();
    let mut ids = BTreeSet::new();
    loop {
        tokio::select! {
            task = queue.recv_async() => {
                let Ok(task) = task else {
                    return;
                };
                if ids.len() < MAX_TASKS && ids.insert(task.order.id) {
                    in_flight.spawn(send_order(task, clock));
                }
            }
            Some(ended) = in_flight.join_next() => {
                let Ok(report) = ended else {
                    continue;
                };
                ids.remove(&report.id);
                if results.send(report).is_err() {
                    return;
                }
            }
        }
    }
}

/// Sends one order and waits for the response.
async fn send_order(task: OrderTask, clock: RealClock) -> OrderReport {
    let end = match connect(task.address).await {
        Ok(stream) => send_and_await(stream, &task, clock).await,
        Err(error) => OrderEnd::Failed(error.to_string()),
    };
    let EngineOrder { id, engine, .. } = task.order;
    OrderReport { id, engine, end }
}

/// Opens a connection on which no data arrives later than `DELIVERY_TIMEOUT` after it was written.
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    // Without these options the kernel would retransmit a lost order for a quarter of an hour. It
    // would arrive after the next leader's orders, and an engine that ignores fencing tokens would
    // execute it.
    socket.set_tcp_user_timeout(Some(DELIVERY_TIMEOUT))?;
    socket.set_linger(Some(Duration::ZERO))?;
    Ok(stream)
}

/// Writes the order if the gate still permits it, and waits for the response.
async fn send_and_await(stream: TcpStream, task: &OrderTask, clock: RealClock) -> OrderEnd {
    let request = match order_request(task) {
        Ok(request) => request,
        Err(error) => return OrderEnd::Failed(error),
    };
    let socket = EndpointSocket::new(stream, ReadProgress::default());
    let (mut sender, connection) = match handshake(TokioIo::new(socket)).await {
        Ok(parts) => parts,
        Err(error) => return OrderEnd::Failed(error.to_string()),
    };
    let exchange = async {
        // The connection is open; nothing blocks between this check and the write.
        let gate = &task.gate;
        gate.may_order(clock.now(), task.lead_until, task.checks_fencing)
            .map_err(OrderEnd::Withheld)?;
        let failed = |error: &dyn std::fmt::Display| OrderEnd::Failed(error.to_string());
        let response = sender.send_request(request).await;
        let response = response.map_err(|error| failed(&error))?;
        let status = response.status().as_u16();
        let framing = BodyFraming::of_response(&Method::POST, &response);
        let framing = framing.map_err(|error| failed(&error))?;
        if !framing.marks_end() {
            return Err(failed(&"the answer does not mark its end"));
        }
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect();
        // A truncated response confirms nothing.
        body.await.map_err(|error| failed(&error))?;
        Ok(status)
    };
    let ended = tokio::select! {
        ended = timeout(RESPONSE_TIMEOUT, exchange) => ended,
        end = drive_connection(connection) => return end,
    };
    match ended {
        Ok(Ok(200)) => OrderEnd::Confirmed,
        Ok(Ok(status)) => OrderEnd::Refused(status),
        Ok(Err(end)) => end,
        Err(_) => OrderEnd::Failed("it took too long".to_owned()),
    }
}

/// Drives a connection; returns only if it fails before the response.
async fn drive_connection(connection: impl Future<Output = hyper::Result<()>>) -> OrderEnd {
    if let Err(error) = connection.await {
        return OrderEnd::Failed(error.to_string());
    }
    // The connection was closed in an orderly way: the response is on its way to its reader.
    std::future::pending().await
}

fn order_request(task: &OrderTask) -> Result<Request<Full<Bytes>>, String> {
    let wire = OrderWire::from(&task.order);
    let body = serde_json::to_vec(&wire).map_err(|error| error.to_string())?;
    Request::post("/v1/orders")
        .header(HOST, task.address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| error.to_string())
}
