//! Why the traffic path is built on `hyper` and neither on `tiny_http` nor on `minreq`: each trap
//! shown on loopback. Where a trap is a wait without end, the test looks for a bounded time.
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

/// How long a test looks for something that should not come.
const OBSERVATION_TIME: Duration = Duration::from_millis(400);

/// Answers one connection with fixed bytes, closes, and returns what was asked.
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

/// A connection that gives up reading after [`OBSERVATION_TIME`].
fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(OBSERVATION_TIME)).unwrap();
    stream
}

/// Whether the other side says nothing and does not close while the test looks.
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

#[test]
fn minreq_takes_a_short_body_as_whole() {
    // A booking's response breaks off. The client is told 200 and gets a part of the body, with no
    // error.
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n";
    let (address, thread) = respond_once(format!("{head}0123456789"));
    let response = minreq::get(format!("http://{address}/")).send().unwrap();
    assert_eq!(response.status_code, 200);
    assert_eq!(response.as_bytes(), b"0123456789");
    thread.join().unwrap();
}

#[test]
fn minreq_repeats_a_post_where_a_redirect_points() {
    // A desk answers a booking with a redirect. The library books again at the other place.
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

#[test]
fn tiny_http_waits_for_ever_for_a_head() {
    // A client sends half a head and falls silent: the connection and its thread stay.
    let (server, address) = tiny_server();
    let mut client = connect(address);
    client.write_all(b"GET / HT").unwrap();
    assert!(stays_open(&mut client));
    drop(server);
}

#[test]
fn tiny_http_takes_heads_of_any_size() {
    // A client sends a head of a mebibyte; it is taken into memory as it comes.
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

#[test]
fn tiny_http_starts_a_thread_for_each_connection() {
    // Clients are answered and keep their connections open, as browsers do: each holds a thread
    // and its stack, with nothing to do.
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

#[test]
fn tiny_http_serves_open_connections_after_its_end() {
    // A node stops. A connection that is open then is neither closed nor answered, so its client
    // waits; and a stand-in built on it could not show a VM that is lost.
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

/// A body of one token that ends only when the test says so.
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

#[test]
fn tiny_http_holds_tokens_back() {
    // An engine makes a token and goes on thinking. With the library's own chunked bodies the
    // client sees the token only with the later ones, or at the end.
    let (server, address) = tiny_server();
    let (release, held_connections) = flume::bounded(1);
    let sender = thread::spawn(move || {
        let request = server.recv().unwrap();
        let body = HeldToken {
            token: b"token-0",
            release: held_connections,
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
