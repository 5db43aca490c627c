use std::{
    future::Future,
    io,
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
    time::Duration, //
};

use ragwortroad_types::prelude::*;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
    time::{
        Instant,
        Sleep,
        sleep_until, //
    }, //
};

use crate::exchange_phase::ExchangePhase;

/// Time limits of a client connection.
#[derive(Clone, Copy)]
pub(crate) struct SocketLimits {
    /// Maximum time without any byte of a request.
    pub(crate) idle: Duration,
    /// Maximum time from the first byte of a request to the end of its head.
    pub(crate) header: Duration,
    /// Maximum time for which the client may leave written bytes unread.
    pub(crate) write: Duration,
}

/// A client connection that fails when the client is silent or slow for too long.
///
/// Without these limits, a client that opens connections and sends nothing, sends a head one byte
/// at a time, or never reads its response would hold a connection forever, and enough of them would
/// lock out all others. The socket also replaces the reply that hyper itself sends to an unreadable
/// head with a typed refusal, so that every refusal has the same form.
pub(crate) struct ClientSocket {
    stream: TcpStream,
    limits: SocketLimits,
    phase: ExchangePhase,
    request: RequestId,
    read_timer: Option<Pin<Box<Sleep>>>,
    write_timer: Option<Pin<Box<Sleep>>>,
    /// Whether bytes of the request head being read have arrived.
    has_partial_head: bool,
    /// When the head began, or else when bytes of a response were last written.
    last_activity: Instant,
    /// The refusal being written in place of a reply by hyper.
    refusal: Option<RefusalWrite>,
}

/// A refusal that is partly written.
struct RefusalWrite {
    bytes: Vec<u8>,
    written: usize,
    /// Length of the reply that the refusal replaces.
    replaced_length: usize,
}

impl ClientSocket {
    pub(crate) fn new(
        stream: TcpStream,
        limits: SocketLimits,
        phase: ExchangePhase,
        request: RequestId,
    ) -> Self {
        Self {
            stream,
            limits,
            phase,
            request,
            read_timer: None,
            write_timer: None,
            has_partial_head: false,
            last_activity: Instant::now(),
            refusal: None,
        }
    }

    /// Fails once the client has been silent for longer than the current phase allows.
    fn poll_read_limit(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        if self.phase.is_responding() {
            self.read_timer = None;
            return Poll::Pending;
        }
        let limit = match self.has_partial_head {
            true => self.limits.header,
            false => self.limits.idle,
        };
        let deadline = self.last_activity + limit;
        let timer = self
            .read_timer
            .get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        while timer.as_mut().poll(context).is_ready() {
            if Instant::now() >= deadline {
                return Poll::Ready(io::ErrorKind::TimedOut.into());
            }
            // Bytes of the last response were written after the timer was set.
            timer.as_mut().reset(deadline);
        }
        Poll::Pending
    }

    /// Records that bytes arrived. The time limit of a head runs from its first byte and does not
    /// restart with each one.
    fn note_read(&mut self) {
        if self.phase.is_responding() {
            self.has_partial_head = false;
        } else if !self.has_partial_head {
            self.has_partial_head = true;
            self.last_activity = Instant::now();
            self.read_timer = None;
        }
    }

    /// Records that response bytes were written, which restarts the idle time of the client.
    fn note_write(&mut self) {
        self.write_timer = None;
        self.has_partial_head = false;
        self.last_activity = Instant::now();
    }

    fn poll_write_limit(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        let limit = self.limits.write;
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + limit)));
        match timer.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(io::ErrorKind::TimedOut.into()),
            Poll::Pending => Poll::Pending,
        }
    }

    /// Writes the refusal, and then reports to hyper that its own bytes are written.
    fn poll_refusal(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        while let Some(refusal) = &mut self.refusal {
            let unwritten = &refusal.bytes[refusal.written..];
            if unwritten.is_empty() {
                let replaced_length = refusal.replaced_length;
                self.refusal = None;
                return Poll::Ready(Ok(replaced_length));
            }
            match Pin::new(&mut self.stream).poll_write(context, unwritten) {
                Poll::Ready(Ok(count)) => refusal.written += count,
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Ready(Ok(0))
    }
}

/// Returns the typed refusal that replaces a reply by hyper itself, if `bytes` are one.
fn typed_refusal(bytes: &[u8], request: RequestId) -> Option<Vec<u8>> {
    let status = bytes.strip_prefix(b"HTTP/1.1 ")?.get(..3)?;
    let (code, message) = match status {
        b"431" | b"414" => (RefusalCode::TooLarge, "the request's head is too large"),
        [b'4', ..] => (RefusalCode::MalformedRequest, "this is not HTTP/1.1"),
        _ => return None,
    };
    let refusal = RefusalWire::new(RequestOutcome::NotRun, code, message, request);
    let body = serde_json::to_string(&refusal).ok()?;
    let status = code.status();
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status} Refused\r\ncontent-type: application/json\r\n\
         x-request-id: {request}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n"
    );
    Some((head + &body).into_bytes())
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = self.get_mut();
        match Pin::new(&mut socket.stream).poll_read(context, buffer) {
            Poll::Ready(result) => {
                socket.note_read();
                // A head that arrives slowly must not restart its own limit with every byte.
                match socket.has_partial_head {
                    true => match socket.poll_read_limit(context) {
                        Poll::Ready(error) => Poll::Ready(Err(error)),
                        Poll::Pending => Poll::Ready(result),
                    },
                    false => Poll::Ready(result),
                }
            }
            Poll::Pending => socket.poll_read_limit(context).map(Err),
        }
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let socket = self.get_mut();
        if socket.refusal.is_none() && socket.phase.is_reading() {
            socket.refusal = typed_refusal(bytes, socket.request).map(|refusal| RefusalWrite {
                bytes: refusal,
                written: 0,
                replaced_length: bytes.len(),
            });
        }
        let written = match socket.refusal.is_some() {
            true => socket.poll_refusal(context),
            false => Pin::new(&mut socket.stream).poll_write(context, bytes),
        };
        match written {
            Poll::Ready(result) => {
                socket.note_write();
                Poll::Ready(result)
            }
            Poll::Pending => socket.poll_write_limit(context).map(Err),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let socket = self.get_mut();
        let flushed = Pin::new(&mut socket.stream).poll_flush(context);
        if flushed.is_ready() {
            socket.phase.note_flush();
        }
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
