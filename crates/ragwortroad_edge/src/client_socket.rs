use std::{
    io::{
        self,
        IoSlice, //
    },
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll, //
    }, //
};

use ragwortroad_dispatch::prelude::*;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream, //
};

use crate::{
    client_session::ClientSession,
    edge_state::EdgeShared, //
};

/// Connection to a client that records how fast the client reads.
pub(crate) struct ClientSocket {
    stream: TcpStream,
    session: Rc<ClientSession>,
    shared: Rc<EdgeShared>,
}

impl ClientSocket {
    pub(crate) fn new(
        stream: TcpStream,
        session: Rc<ClientSession>,
        shared: Rc<EdgeShared>,
    ) -> Self {
        Self {
            stream,
            session,
            shared,
        }
    }

    /// Records the result of an attempt to write.
    fn note_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Pending => self.session.update(ClientTransfer::note_blocked),
            Poll::Ready(Ok(bytes)) => {
                self.session.note_sent(*bytes);
                let now = self.shared.now();
                self.session
                    .update(|transfer| transfer.note_sent(*bytes, now));
            }
            Poll::Ready(Err(_)) => {}
        }
        written
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.session.note_received(buffer.filled().len() - filled);
        read
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.note_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.note_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.session.note_flushed();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
