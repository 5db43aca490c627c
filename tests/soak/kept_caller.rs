//! A caller that keeps one connection open until the process at its other end is gone.

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

/// Longest time for which an answer is awaited.
const PATIENCE: Duration = Duration::from_secs(20);

/// What came of one request.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum KeptEnd {
    /// An answer with this status came in full; whether its connection goes on.
    Answered { status: u16, goes_on: bool },
    /// The connection ended without an answer in full.
    Cut,
    /// Nobody listens there.
    Unreached,
}

/// One caller.
#[derive(Debug, Default)]
pub(crate) struct KeptCaller {
    stream: Option<TcpStream>,
}

impl KeptCaller {
    /// Sends a request on the connection that is open, or on a new one.
    pub(crate) fn ask(&mut self, edge: SocketAddr, path: &str, id: &str) -> KeptEnd {
        let stream = self.stream.take().or_else(|| {
            let stream = TcpStream::connect(edge).ok()?;
            stream.set_read_timeout(Some(PATIENCE)).ok()?;
            Some(stream)
        });
        let Some(mut stream) = stream else {
            return KeptEnd::Unreached;
        };
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
        );
        if stream.write_all(request.as_bytes()).is_err() {
            return KeptEnd::Cut;
        }
        let end = read_answer(&mut stream).unwrap_or(KeptEnd::Cut);
        if let KeptEnd::Answered { goes_on: true, .. } = end {
            self.stream = Some(stream);
        }
        end
    }
}

/// Reads one answer with a length; nothing if it does not come in full.
fn read_answer(stream: &mut TcpStream) -> Option<KeptEnd> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        if let Some(end) = end {
            let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
            let value = |name: &str| {
                let line = head.lines().find(|line| line.starts_with(name))?;
                Some(line[name.len()..].trim().to_owned())
            };
            let length: usize = value("content-length:")?.parse().ok()?;
            if bytes.len() >= end + 4 + length {
                let status = head.split(' ').nth(1)?.parse().ok()?;
                let goes_on = value("connection:").as_deref() != Some("close");
                return Some(KeptEnd::Answered { status, goes_on });
            }
        }
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&buffer[..count]);
    }
}
