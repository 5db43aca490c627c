//! A client that reuses one connection until the server closes it.

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    time::Duration, //
};

/// Time limit for each read from the connection.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Outcome of one request.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// A complete answer was received; `keeps_alive` tells whether the connection stays open.
    Answered { status: u16, keeps_alive: bool },
    /// The connection ended before a complete answer.
    Disconnected,
    /// No connection could be established.
    ConnectFailed,
}

/// A client with at most one open connection.
#[derive(Debug, Default)]
pub(crate) struct KeepAliveClient {
    stream: Option<TcpStream>,
}

impl KeepAliveClient {
    /// Sends a request on the open connection, or on a new one.
    pub(crate) fn send(&mut self, edge: SocketAddr, path: &str, id: &str) -> RequestOutcome {
        let stream = self.stream.take().or_else(|| {
            let stream = TcpStream::connect(edge).ok()?;
            stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
            Some(stream)
        });
        let Some(mut stream) = stream else {
            return RequestOutcome::ConnectFailed;
        };
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
        );
        if stream.write_all(request.as_bytes()).is_err() {
            return RequestOutcome::Disconnected;
        }
        let outcome = read_answer(&mut stream).unwrap_or(RequestOutcome::Disconnected);
        if let RequestOutcome::Answered {
            keeps_alive: true, ..
        } = outcome
        {
            self.stream = Some(stream);
        }
        outcome
    }
}

/// Reads one answer with a `Content-Length`; `None` if it is incomplete.
fn read_answer(stream: &mut TcpStream) -> Option<RequestOutcome> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        if let Some(head_end) = head_end {
            let head = String::from_utf8_lossy(&bytes[..head_end]).to_ascii_lowercase();
            let value = |name: &str| {
                let line = head.lines().find(|line| line.starts_with(name))?;
                Some(line[name.len()..].trim().to_owned())
            };
            let length: usize = value("content-length:")?.parse().ok()?;
            if bytes.len() >= head_end + 4 + length {
                let status = head.split(' ').nth(1)?.parse().ok()?;
                let keeps_alive = value("connection:").as_deref() != Some("close");
                return Some(RequestOutcome::Answered {
                    status,
                    keeps_alive,
                });
            }
        }
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&buffer[..count]);
    }
}
