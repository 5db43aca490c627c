use std::{
    convert::Infallible,
    io,
    iter::from_fn,
    net::{
        IpAddr,
        SocketAddr, //
    },
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use flume::Sender;
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::{
    Request,
    Response,
    body::Incoming,
    header::{
        CONNECTION,
        HeaderValue, //
    },
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use ragwortroad_telemetry::prelude::*;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    select,
    sync::oneshot,
    task::spawn_local,
    time::{
        Instant,
        sleep,
        timeout, //
    }, //
};

use crate::{
    ControlCall,
    ControlReply,
    RegistryPort,
    call_body::CallBody,
    call_session::CallSession,
    call_socket::CallSocket,
    call_source::CallSource,
    open_calls::OpenCalls,
    registry_event::RegistryEvent,
    stop_stage::StopStage, //
};

/// Maximum body size of a call in bytes. A configuration of about ten thousand routes fits.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Time limit for receiving the body of a call.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time for which the rest of a refused body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without a request after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Reply to a call that a stopping process does not serve.
const STOPPING: ControlReply = ControlReply::Unavailable {
    reason: "this process is stopping",
};

/// Delay after a failed accept, which keeps the loop from spinning when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves the HTTP control interface for operators, endpoints and clients that resolve edges, until
/// the process is told to stop.
pub(crate) fn serve_calls(
    listener: TcpListener,
    port: RegistryPort,
    events: Sender<RegistryEvent>,
    calls: &Rc<OpenCalls>,
) -> impl Future<Output = ()> + 'static {
    let source = CallSource::open(calls);
    async move {
        let calls = source.calls();
        let serve = |stream, peer: SocketAddr| {
            let session = CallSession::new(CallSource::open(calls), peer.ip());
            spawn_local(serve_connection(stream, port, events.clone(), session));
        };
        let mut draining = pin!(calls.reached(StopStage::Draining));
        loop {
            let accepted = select! {
                accepted = listener.accept() => accepted,
                () = &mut draining => break,
            };
            match accepted {
                Ok((stream, peer)) => serve(stream, peer),
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a control connection");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        match accept_backlog(listener) {
            Ok(accepted) => accepted
                .into_iter()
                .for_each(|(stream, peer)| serve(stream, peer)),
            Err(error) => tracing::warn!(%error, "failed to accept the last control connections"),
        }
    }
}

/// Closes a listener and returns the connections that were established and not accepted yet.
fn accept_backlog(listener: TcpListener) -> io::Result<Vec<(TcpStream, SocketAddr)>> {
    let listener = listener.into_std()?;
    // A connection that is established between the last call and the close is reset, so nothing
    // else is done in between.
    let accepted: Vec<_> = from_fn(|| listener.accept().ok()).collect();
    drop(listener);
    let accepted = accepted.into_iter().map(|(stream, peer)| {
        stream.set_nonblocking(true)?;
        Ok((TcpStream::from_std(stream)?, peer))
    });
    accepted.collect()
}

async fn serve_connection(
    stream: TcpStream,
    port: RegistryPort,
    events: Sender<RegistryEvent>,
    session: Rc<CallSession>,
) {
    let service = service_fn(|request| handle_request(port, &events, &session, request));
    let socket = TokioIo::new(CallSocket::new(stream, Rc::clone(&session)));
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(socket, service);
    let served = select! {
        served = serving => served,
        () = session.calls().reached(StopStage::Closed) => return,
    };
    session.note_client_left();
    if let Err(error) = served {
        tracing::debug!(%error, "control connection ended with an error");
    }
}

async fn handle_request(
    port: RegistryPort,
    events: &Sender<RegistryEvent>,
    session: &Rc<CallSession>,
    request: Request<Incoming>,
) -> Result<Response<CallBody>, Infallible> {
    session.open_call(&request);
    let calls = session.calls();
    let control_reply = select! {
        biased;
        control_reply = answer_call(port, events, session.client_ip(), request) => control_reply,
        () = calls.reached(StopStage::Refusing) => STOPPING,
    };
    let mut response = (port.encode_reply)(&control_reply);
    if calls.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response.map(|body| CallBody::new(body, Rc::clone(session))))
}

/// Reads the body of a call and has the control loop answer it.
async fn answer_call(
    port: RegistryPort,
    events: &Sender<RegistryEvent>,
    client_ip: IpAddr,
    request: Request<Incoming>,
) -> ControlReply {
    let (parts, mut body) = request.into_parts();
    let reading = Limited::new(&mut body, MAX_BODY_BYTES).collect();
    let path = parts.uri.path();
    let call = match timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(body)) => Some((port.decode_call)(
            &parts.method,
            &parts.uri,
            body.to_bytes(),
        )),
        Ok(Err(error)) => {
            tracing::info!(%error, path, "failed to read the body of a call");
            None
        }
        Err(_) => {
            tracing::info!(path, "the body of a call did not come in time");
            None
        }
    };
    if call.is_none() {
        spawn_local(discard_body(body));
    }
    let call = call.unwrap_or(ControlCall::Unknown);
    let read_at = Instant::now();
    let (reply, reply_receiver) = oneshot::channel();
    let control_reply = match events.send(RegistryEvent::Call {
        call,
        client_ip,
        reply,
    }) {
        Ok(()) => reply_receiver.await.unwrap_or(STOPPING),
        Err(_) => STOPPING,
    };
    let duration = read_at.elapsed().as_secs_f64();
    metrics::histogram!(metric_names::CONTROL_CALL_SECONDS, "outcome" => control_reply.outcome())
        .record(duration);
    control_reply
}

/// Reads the rest of a body that is too large or too slow, within the same limit.
///
/// Closing a connection with unread bytes resets it, and the reset may overtake the response.
async fn discard_body(body: Incoming) {
    let mut rest = Limited::new(body, MAX_BODY_BYTES);
    let reading = async { while let Some(Ok(_)) = rest.frame().await {} };
    // A body that goes on is cut.
    timeout(DISCARD_TIMEOUT, reading).await.unwrap_or_default();
}
