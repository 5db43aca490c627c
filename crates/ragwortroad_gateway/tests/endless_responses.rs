//! Endpoints that send bytes without end that are no part of a response.
#![allow(clippy::unwrap_used)]

mod common;

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        }, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use common::test_fleet::{
    TestFleet,
    chat_body,
    is_own_response,
    refusal_of, //
};
use ragwortroad_gateway::prelude::*;
use ragwortroad_types::prelude::*;

/// Bytes after which a response without end ends all the same.
const MAX_RESPONSE_BYTES: usize = 48 << 20;

/// Bytes that are sent at once, at least.
const BLOCK_BYTES: usize = 32 << 10;

/// Bytes that a gateway may take of one such response: what it reads before it gives up, and the
/// buffers of the connection.
const MAX_TAKEN_BYTES: usize = (4 << 20) + (8 << 20);

/// Longest time until a request is answered that such an endpoint runs.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(6);

/// The start of a response, and what is repeated then.
const FORMS: [(&str, &str); 3] = [
    ("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n",
        "0",
    ),
    (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n",
        "x-line: xxxxxxxx\r\n",
    ),
];

/// Starts an endpoint whose responses have no end, and counts their bytes.
fn start_endpoint(start: &'static str, repeated: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&sent);
    // Ends with the process: the gateway may connect at any time.
    thread::spawn(move || {
        for stream in listener.incoming() {
            let counter = Arc::clone(&counter);
            thread::spawn(move || respond(stream.unwrap(), start, repeated, &counter));
        }
    });
    (address, sent)
}

fn respond(mut stream: TcpStream, start: &str, repeated: &str, sent: &AtomicUsize) {
    // The head comes in one packet, and the body does not matter.
    if stream.read(&mut [0; 4096]).unwrap_or(0) == 0 {
        return;
    }
    let block = repeated.repeat(BLOCK_BYTES.div_ceil(repeated.len()));
    let mut is_open = stream.write_all(start.as_bytes()).is_ok();
    let mut taken = 0;
    while is_open && taken < MAX_RESPONSE_BYTES {
        is_open = stream.write_all(block.as_bytes()).is_ok();
        taken += block.len();
        sent.fetch_add(block.len(), Ordering::SeqCst);
    }
}

/// Guards against services whose stray bytes are read for as long as they come.
#[test]
fn stray_bytes_of_services_are_cut_off() {
    for (start, repeated) in FORMS {
        let fleet = TestFleet::start(GatewaySettings::default());
        let (endpoint, sent) = start_endpoint(start, repeated);
        fleet.control.routes.lock().unwrap().services = vec![("studio-desk".to_owned(), endpoint)];
        let asked_at = Instant::now();
        let refusal = refusal_of(&fleet.book("x-deadline-ms: 4000\r\n"));
        let took = asked_at.elapsed();
        fleet.stop();
        let taken = sent.load(Ordering::SeqCst);
        assert_eq!(refusal.outcome, RequestOutcome::Unknown, "{repeated:?}");
        assert!(taken <= MAX_TAKEN_BYTES, "{repeated:?}: {taken} bytes");
        assert!(took < MAX_ANSWER_TIME, "{repeated:?}: {took:?}");
    }
}

/// Guards against engines whose stray bytes keep a chat from going on elsewhere.
#[test]
fn stray_bytes_of_engines_are_cut_off() {
    for (start, repeated) in FORMS {
        for is_stream in [false, true] {
            let fleet = TestFleet::start(GatewaySettings {
                require_request_id_echo: false,
                ..GatewaySettings::default()
            });
            let (endpoint, sent) = start_endpoint(start, repeated);
            let sound = fleet.engines[0].address();
            fleet.control.routes.lock().unwrap().models = vec![
                ("caption".to_owned(), endpoint),
                ("caption".to_owned(), sound),
            ];
            let chat = chat_body(is_stream);
            let response = fleet.chat(&chat, "x-deadline-ms: 4000\r\n");
            fleet.stop();
            let taken = sent.load(Ordering::SeqCst);
            assert!(
                response.starts_with("HTTP/1.1 200"),
                "{repeated:?}: {response}"
            );
            let is_own = !is_stream || is_own_response(&response, &chat);
            assert!(is_own, "{repeated:?}: {response}");
            assert!(taken <= MAX_TAKEN_BYTES, "{repeated:?}: {taken} bytes");
        }
    }
}
