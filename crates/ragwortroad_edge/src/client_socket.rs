use std::{
    io::{
        self,
        IoSlice, //
    },
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll,
        ready, //
    }, //
};

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

    fn note_sent(&self, sent: io::Result<usize>) -> io::Result<usize> {
        let bytes = sent?;
        let now = self.shared.now();
        self.session
            .update(|transfer| transfer.note_sent(bytes, now));
        Ok(bytes)
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let sent = ready!(Pin::new(&mut self.stream).poll_write(context, buffer));
        Poll::Ready(self.note_sent(sent))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let sent = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, buffers));
        Poll::Ready(self.note_sent(sent))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
