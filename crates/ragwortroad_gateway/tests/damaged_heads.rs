//! Endpoints whose responses are damaged where they tell the length of the body, their status or the
//! request.
#![allow(clippy::unwrap_used)]

mod common;

use std::{
    io::{
        BufRead,
        BufReader,
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    thread, //
};

use common::test_fleet::{
    TestFleet,
    chat_body,
    is_own_response,
    refusal_of, //
};
use ragwortroad_gateway::prelude::*;
use ragwortroad_types::prelude::*;

/// Text in the responses of the endpoint in trouble.
const BODY: &str = "what an endpoint in trouble has to say here";

/// A stream of the endpoint in trouble in response to a request.
fn events(id: &str) -> String {
    format!(
        "data: {{\"id\":\"chatcmpl-{id}\",\"choices\":[{{\"index\":0,\"delta\":\
         {{\"content\":\"trouble\"}}}}]}}\n\ndata: [DONE]\n\n"
    )
}

fn chunked(body: &str) -> String {
    format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
}

/// Starts an endpoint that responds with the bytes that `response` makes of the id of the request,
/// and closes the connection.
fn start_endpoint(response: impl Fn(&str) -> String + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    // Ends with the process: the gateway may connect at any time.
    thread::spawn(move || {
        for stream in listener.incoming() {
            let response = response.clone();
            thread::spawn(move || respond(stream.unwrap(), response));
        }
    });
    address
}

fn respond(mut stream: TcpStream, response: impl Fn(&str) -> String) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let (mut length, mut id) = (0, String::new());
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let line = line.trim_end().to_ascii_lowercase();
        match line.split_once(": ") {
            Some(("content-length", value)) => length = value.parse().unwrap(),
            Some(("x-request-id", value)) => id = value.to_owned(),
            // The first line is no header.
            Some(_) | None if !line.is_empty() => {}
            _ => break,
        }
    }
    reader.read_exact(&mut vec![0; length]).unwrap();
    // The gateway may have closed the connection.
    let sent = stream.write_all(response(&id).as_bytes());
    sent.unwrap_or_default();
}

/// The first lines of damaged heads, the bodies of which come in chunks.
fn damaged_heads() -> Vec<String> {
    let framings = [
        "transfer-encoding: chunked\r\ncontent-length: 5\r\n",
        "content-length: 5\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunkex\r\n",
        "transfer-encoding: gzip\r\n",
        "transfer-encoding: gzip, chunked\r\n",
        "transfer-encoding: chunked, chunked\r\n",
        "transfer-encoding: \r\n",
        "transfer-encodinj: chunked\r\n",
    ];
    let framings = framings.iter();
    framings
        .map(|framing| format!("HTTP/1.1 200 OK\r\n{framing}"))
        .collect()
}

/// Guards against bookings whose complete response is not the service's.
#[test]
fn damaged_responses_of_services_reach_no_client() {
    let mut responses: Vec<String> = damaged_heads()
        .into_iter()
        .map(|head| head + "\r\n" + &chunked(BODY))
        .collect();
    for status in ["101 Switching Protocols", "600 Beyond", "204 No Content"] {
        responses.push(format!(
            "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{BODY}",
            BODY.len()
        ));
    }
    for response in responses {
        let fleet = TestFleet::start(GatewaySettings::default());
        let sent = response.clone();
        let endpoint = start_endpoint(move |_| sent.clone());
        fleet.control.routes.lock().unwrap().services = vec![("studio-desk".to_owned(), endpoint)];
        let booked = fleet.book("");
        let refusal = refusal_of(&booked);
        assert_eq!(refusal.outcome, RequestOutcome::Unknown, "{response}");
        assert!(!booked.contains("trouble"), "{response}: {booked}");
        assert_eq!(fleet.stop().outcomes(), [AttemptOutcome::Broken]);
    }
}

/// Guards against a service whose equal lengths are taken for damage.
#[test]
fn a_length_that_a_service_repeats_is_sent_on_once() {
    let length = BODY.len();
    let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}, {length}\r\n\r\n{BODY}");
    let fleet = TestFleet::start(GatewaySettings::default());
    let endpoint = start_endpoint(move |_| response.clone());
    fleet.control.routes.lock().unwrap().services = vec![("studio-desk".to_owned(), endpoint)];
    let booked = fleet.book("");
    assert!(booked.starts_with("HTTP/1.1 200"), "{booked}");
    assert!(
        booked.contains(&format!("content-length: {length}\r\n")),
        "{booked}"
    );
    assert!(booked.ends_with(BODY), "{booked}");
    fleet.stop();
}

/// Guards against chats that take their text out of a damaged response.
#[test]
fn damaged_responses_of_engines_are_retried_elsewhere() {
    for head in damaged_heads() {
        for is_stream in [false, true] {
            let fleet = TestFleet::start(GatewaySettings::default());
            let start = head.clone();
            let endpoint = start_endpoint(move |id| {
                let body = match is_stream {
                    true => events(id),
                    false => BODY.to_owned(),
                };
                format!("{start}x-request-id: {id}\r\n\r\n{}", chunked(&body))
            });
            let sound = fleet.engines[0].address();
            fleet.control.routes.lock().unwrap().models = vec![
                ("caption".to_owned(), endpoint),
                ("caption".to_owned(), sound),
            ];
            let chat = chat_body(is_stream);
            let response = fleet.chat(&chat, "");
            assert!(!response.contains("trouble"), "{head}: {response}");
            if is_stream {
                assert!(is_own_response(&response, &chat), "{head}: {response}");
            }
            let outcomes = fleet.stop().outcomes();
            assert_eq!(outcomes[0], AttemptOutcome::Broken, "{head}");
            assert!(matches!(outcomes[1], AttemptOutcome::Completed { .. }));
        }
    }
}

/// Guards against a response that names two requests, one of them another client's.
#[test]
fn responses_that_name_two_requests_reach_no_client() {
    let fleet = TestFleet::start(GatewaySettings::default());
    let length = BODY.len();
    let endpoint = start_endpoint(move |id| {
        let ids = format!("x-request-id: {id}\r\nx-request-id: 00000000000000aa\r\n");
        format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n{ids}\r\n{BODY}")
    });
    fleet.control.routes.lock().unwrap().services = vec![("studio-desk".to_owned(), endpoint)];
    let refusal = refusal_of(&fleet.book(""));
    assert_eq!(refusal.outcome, RequestOutcome::Unknown);
    fleet.stop();
}
