use std::{
    io::{
        self,
        IoSlice, //
    },
    pin::Pin,
    task::{
        Context,
        Poll, //
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

use crate::read_progress::ReadProgress;

/// Connection to an endpoint that fails once the endpoint sends much that is no part of a response.
///
/// The HTTP library reads interim responses and the size of a chunk for as long as they come, and other
/// work of its thread would wait for it.
#[derive(Debug)]
pub struct EndpointSocket {
    stream: TcpStream,
    progress: ReadProgress,
}

impl EndpointSocket {
    /// Creates the socket of a connection whose parts of responses are recorded in `progress`.
    pub fn new(stream: TcpStream, progress: ReadProgress) -> Self {
        Self { stream, progress }
    }
}

impl AsyncRead for EndpointSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = buffer.filled().len() - filled;
        match self.progress.note_read(count) {
            Ok(()) => read,
            Err(stray) => {
                let error = io::Error::new(io::ErrorKind::InvalidData, stray);
                Poll::Ready(Err(error))
            }
        }
    }
}

impl AsyncWrite for EndpointSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
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
