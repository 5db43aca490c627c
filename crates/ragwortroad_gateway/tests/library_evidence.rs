//! Shows on loopback why the traffic path uses `hyper` and neither `tiny_http` nor `minreq`: one
//! test per defect. Where the defect is an endless wait, the test observes it for a bounded time.
#![allow(clippy::unwrap_used)]

use std::{
    fs,
    io::{
        self,
        Read,
        Write, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::Duration, //
};

use tiny_http::{
    Response,
    Server,
    StatusCode, //
};

/// Time for which a test observes that something does not happen.
const OBSERVATION_TIME: Duration = Duration::from_millis(400);

/// Accepts one connection, sends a fixed response, closes, and returns the request.
fn respond_once(response: String) -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let thread = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buffer = [0; 2048];
        let count = stream.read(&mut buffer).unwrap();
        stream.write_all(response.as_bytes()).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        String::from_utf8_lossy(&buffer[..count]).into_owned()
    });
    (address, thread)
}

fn tiny_server() -> (Server, SocketAddr) {
    let server = Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_ip().unwrap();
    (server, address)
}

/// Opens a connection with a read timeout of [`OBSERVATION_TIME`].
fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(OBSERVATION_TIME)).unwrap();
    stream
}

/// Whether the peer neither sends nor closes during the observation.
fn stays_open(stream: &mut TcpStream) -> bool {
    let error = match stream.read(&mut [0; 64]) {
        Ok(_) => return false,
        Err(error) => error,
    };
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

fn thread_count() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("Threads:"));
    line.unwrap()
        .split_whitespace()
        .nth(1)
        .unwrap()
        .parse()
        .unwrap()
}

/// Shows a truncated response that counts as complete: a booking response breaks off, and the
/// client gets status 200 and a partial body without an error.
#[test]
fn minreq_accepts_a_truncated_body() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n";
    let (address, thread) = respond_once(format!("{head}0123456789"));
    let response = minreq::get(format!("http://{address}/")).send().unwrap();
    assert_eq!(response.status_code, 200);
    assert_eq!(response.as_bytes(), b"0123456789");
    thread.join().unwrap();
}

/// Shows a repeated booking: a service responds with a redirect, and the library sends the booking
/// again to its target.
#[test]
fn minreq_repeats_a_post_at_a_redirect_target() {
    let (second, second_thread) =
        respond_once("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".to_owned());
    let redirect = format!(
        "HTTP/1.1 307 Temporary Redirect\r\nlocation: http://{second}/\r\ncontent-length: 0\r\n\r\n"
    );
    let (first, first_thread) = respond_once(redirect);
    let response = minreq::post(format!("http://{first}/"))
        .with_body("slot")
        .send();
    assert_eq!(response.unwrap().status_code, 200);
    first_thread.join().unwrap();
    let repeated = second_thread.join().unwrap();
    assert!(repeated.starts_with("POST "), "{repeated}");
}

/// Shows a missing head timeout: a client sends half a head and then nothing, and its connection
/// and thread stay.
#[test]
fn tiny_http_has_no_head_timeout() {
    let (server, address) = tiny_server();
    let mut client = connect(address);
    client.write_all(b"GET / HT").unwrap();
    assert!(stays_open(&mut client));
    drop(server);
}

/// Shows a missing head size limit: a client sends a head of one mebibyte, which is read into
/// memory as it arrives.
#[test]
fn tiny_http_has_no_head_size_limit() {
    let (server, address) = tiny_server();
    let writer = thread::spawn(move || {
        let mut client = connect(address);
        let value = "a".repeat(1 << 20);
        let head = format!("GET / HTTP/1.1\r\nhost: n\r\nx-long: {value}\r\n\r\n");
        client.write_all(head.as_bytes()).unwrap();
        client
    });
    let request = server.recv().unwrap();
    let longest = request
        .headers()
        .iter()
        .map(|header| header.value.as_str().len())
        .max();
    assert_eq!(longest, Some(1 << 20));
    drop(writer.join().unwrap());
}

/// Shows one thread and its stack per idle connection: clients get their responses and keep their
/// connections open, as browsers do.
#[test]
fn tiny_http_starts_a_thread_for_each_connection() {
    let (server, address) = tiny_server();
    let before = thread_count();
    let mut clients = Vec::new();
    for _ in 0..100 {
        let mut client = connect(address);
        client
            .write_all(b"GET / HTTP/1.1\r\nhost: n\r\n\r\n")
            .unwrap();
        let request = server.recv().unwrap();
        request.respond(Response::from_string("ok")).unwrap();
        clients.push(client);
    }
    let after = thread_count();
    assert!(after >= before + 80, "{before} threads, then {after}");
    drop(clients);
    drop(server);
}

/// Shows that dropping the server neither closes nor serves open connections: clients of a stopped
/// node wait, and a stand-in built on it could not simulate a lost VM.
#[test]
fn tiny_http_leaves_connections_open_after_shutdown() {
    let (server, address) = tiny_server();
    let mut client = connect(address);
    client
        .write_all(b"GET / HTTP/1.1\r\nhost: n\r\n\r\n")
        .unwrap();
    let request = server.recv().unwrap();
    request.respond(Response::from_string("ok")).unwrap();
    let mut response = [0; 12];
    client.read_exact(&mut response).unwrap();
    drop(server);
    let mut rest = [0; 4096];
    while client.read(&mut rest).is_ok_and(|count| count > 0) {}
    client
        .write_all(b"GET / HTTP/1.1\r\nhost: n\r\n\r\n")
        .unwrap();
    assert!(stays_open(&mut client));
}

/// A body of one token that ends when the test releases it.
struct HeldToken {
    token: &'static [u8],
    release: flume::Receiver<()>,
}

impl Read for HeldToken {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.token.is_empty() {
            let released = self.release.recv();
            return released.map(|()| 0).map_err(io::Error::other);
        }
        self.token.read(buffer)
    }
}

/// Shows delayed tokens: an engine sends a token and continues to compute, and chunked bodies of
/// the library deliver the token only with later ones or at the end.
#[test]
fn tiny_http_delays_tokens() {
    let (server, address) = tiny_server();
    let (release, release_receiver) = flume::bounded(1);
    let sender = thread::spawn(move || {
        let request = server.recv().unwrap();
        let body = HeldToken {
            token: b"token-0",
            release: release_receiver,
        };
        let response = Response::new(StatusCode(200), Vec::new(), body, None, None);
        request.respond(response).unwrap();
        server
    });
    let mut client = connect(address);
    client
        .write_all(b"GET / HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\r\n")
        .unwrap();
    let mut seen = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(count) = client.read(&mut buffer) {
        seen.extend_from_slice(&buffer[..count]);
    }
    assert!(!String::from_utf8_lossy(&seen).contains("token-0"));
    release.send(()).unwrap();
    client.read_to_end(&mut seen).unwrap();
    assert!(String::from_utf8_lossy(&seen).contains("token-0"));
    drop(sender.join().unwrap());
}
