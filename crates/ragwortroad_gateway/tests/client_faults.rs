//! Clients that send invalid requests, are slow, or disconnect.
#![allow(clippy::unwrap_used)]

mod common;

use std::{
    io::{
        Read,
        Write, //
    },
    net::Shutdown,
    time::Duration, //
};

use common::{
    raw_client::{
        connect,
        exchange,
        post,
        read_all,
        read_until, //
    },
    test_fleet::{
        TestFleet,
        chat_body,
        is_own_response,
        refusal_of, //
    }, //
};
use ragwortroad_gateway::prelude::*;
use ragwortroad_standin::prelude::*;
use ragwortroad_types::prelude::*;

/// Formats a refusal for the snapshot, without the parts that differ between runs.
fn format_refusal(name: &str, response: &str) -> String {
    let status = response.lines().next().unwrap_or_default();
    let mut detail = refusal_of(response);
    assert_eq!(detail.request_id.len(), 16, "{name}");
    detail.request_id = "ID".to_owned();
    let wire = RefusalWire { error: detail };
    let json = serde_json::to_string_pretty(&wire).unwrap();
    format!("== {name}\n{status}\n{json}\n\n")
}

/// Guards against invalid input that is not refused as not run with a code and a remedy, or that
/// stops the node from serving others: each kind of bad input arrives in turn.
#[test]
fn every_bad_request_gets_a_typed_refusal() {
    let fleet = TestFleet::start(GatewaySettings {
        max_body_bytes: 2000,
        max_header_bytes: 8192,
        ..GatewaySettings::default()
    });
    let chat = "/v1/chat/completions";
    let long_head = format!(
        "GET /healthz HTTP/1.1\r\nx-long: {}\r\n\r\n",
        "a".repeat(20_000)
    );
    let long_body = format!("{{\"text\":\"{}\"}}", "a".repeat(4000));
    let unknown = ChatBody {
        model: "absent".to_owned(),
        ..chat_body(false)
    };
    let resume = ChatBody {
        resume_from: Some(3),
        ..chat_body(true)
    };
    let json = |body: &ChatBody| serde_json::to_string(body).unwrap();
    let keyless = b"POST /v1/chat/completions HTTP/1.1\r\nhost: n\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("malformed HTTP", b"NONSENSE\r\n\r\n".to_vec()),
        ("oversized head", long_head.into_bytes()),
        ("oversized body", post(chat, "", &long_body)),
        ("no key", keyless.to_vec()),
        ("body that is no JSON", post(chat, "", "{\"model\":")),
        ("unknown model", post(chat, "", &json(&unknown))),
        ("resume from outside", post(chat, "", &json(&resume))),
        ("unknown service", post("/v1/services/absent/x", "", "")),
        ("unknown path", post("/v2/chat", "", "")),
        ("bad announcement", post("/v1/announce", "", "{}")),
        (
            "bad operator body",
            post("/v1/operator", "", "{\"lime\":1}"),
        ),
    ];
    let mut all = String::new();
    for (name, bytes) in cases {
        all += &format_refusal(name, &exchange(fleet.address(), &bytes));
        let good = chat_body(true);
        assert!(
            is_own_response(&fleet.chat(&good, ""), &good),
            "after: {name}"
        );
    }
    insta::assert_snapshot!(all);
    fleet.stop();
}

/// Guards against clients that hold a connection forever: they send nothing, leave a head or a body
/// unfinished, or stay connected after their response.
#[test]
fn silent_and_slow_clients_are_closed_and_delay_no_one() {
    let fleet = TestFleet::start(GatewaySettings {
        idle_timeout: Duration::from_millis(700),
        header_timeout: Duration::from_millis(700),
        body_timeout: Duration::from_millis(700),
        ..GatewaySettings::default()
    });
    let mut silent = connect(fleet.address());
    let mut slow = connect(fleet.address());
    slow.write_all(b"GET /heal").unwrap();
    let mut served = connect(fleet.address());
    let health = b"GET /healthz HTTP/1.1\r\nhost: n\r\n\r\n";
    served.write_all(health).unwrap();
    read_until(&mut served, "ok\n");
    let mut stuck = connect(fleet.address());
    let head = post("/v1/chat/completions", "", &"x".repeat(100));
    stuck.write_all(&head[..head.len() - 50]).unwrap();
    let good = chat_body(true);
    assert!(is_own_response(&fleet.chat(&good, ""), &good));
    assert_eq!(read_all(&mut silent), "");
    assert_eq!(read_all(&mut slow), "");
    assert_eq!(read_all(&mut served), "");
    let refusal = refusal_of(&read_all(&mut stuck));
    assert_eq!(refusal.outcome, RequestOutcome::NotRun);
    assert_eq!(refusal.code, RefusalCode::DeadlinePassed);
    fleet.stop();
}

/// Guards against a head timeout that restarts with each byte: a client sends its head one byte at
/// a time, each well within the limit.
#[test]
fn a_slow_head_does_not_extend_its_own_timeout() {
    let fleet = TestFleet::start(GatewaySettings {
        header_timeout: Duration::from_millis(200),
        ..GatewaySettings::default()
    });
    let mut slow = connect(fleet.address());
    let head = format!("GET /healthz HTTP/1.1\r\nx-slow: {}", "a".repeat(4000));
    let refused = head.bytes().any(|byte| {
        std::thread::sleep(Duration::from_millis(5));
        slow.write_all(&[byte]).is_err()
    });
    assert!(refused, "the connection was still open after 20 seconds");
    fleet.stop();
}

/// Guards against connections beyond the limit that are accepted or closed without a refusal: one
/// client opens too many, in total or from one VM.
#[test]
fn clients_beyond_the_connection_limit_are_refused() {
    let limits = GatewaySettings::default();
    let (all, own) = (limits.max_connections, limits.max_connections_per_address);
    for (max_connections, max_connections_per_address) in [(4, own), (all, 4)] {
        check_connection_limit(GatewaySettings {
            max_connections,
            max_connections_per_address,
            ..GatewaySettings::default()
        });
    }
}

/// Fills a gateway that accepts four connections, checks the refusal, and then closes them.
fn check_connection_limit(settings: GatewaySettings) {
    let fleet = TestFleet::start(settings);
    let mut held_connections: Vec<_> = (0..4).map(|_| connect(fleet.address())).collect();
    for stream in &mut held_connections {
        stream
            .write_all(b"GET /healthz HTTP/1.1\r\nhost: n\r\n\r\n")
            .unwrap();
        read_until(stream, "ok\n");
    }
    let mut rejected = connect(fleet.address());
    let refusal = refusal_of(&read_until(&mut rejected, "}}"));
    assert_eq!(refusal.outcome, RequestOutcome::NotRun);
    assert_eq!(refusal.code, RefusalCode::Overloaded);
    drop(held_connections);
    fleet.wait_for("there is room again", |fleet| {
        let mut stream = connect(fleet.address());
        let sent = stream.write_all(b"GET /healthz HTTP/1.1\r\nhost: n\r\n\r\n");
        let mut buffer = [0; 12];
        sent.is_ok() && stream.read_exact(&mut buffer).is_ok() && buffer.ends_with(b"200")
    });
    fleet.stop();
}

/// Guards against exhausted memory, which would end the process with every stream in it: clients
/// send long, unfinished bodies, each within its own limit.
#[test]
fn bodies_beyond_the_memory_budget_are_refused_as_not_run() {
    let fleet = TestFleet::start(GatewaySettings {
        max_body_bytes: 100_000,
        max_buffered_body_bytes: 150_000,
        ..GatewaySettings::default()
    });
    let long = post("/v1/chat/completions", "", &"x".repeat(90_000));
    let mut holders = Vec::new();
    fleet.wait_for("the memory budget is exhausted", |fleet| {
        // A held body may itself be refused beside the complete request below, so each round adds
        // another.
        let mut holder = connect(fleet.address());
        holder.write_all(&long[..long.len() - 10]).unwrap();
        holders.push(holder);
        let response = exchange(fleet.address(), &long);
        refusal_of(&response).code == RefusalCode::Overloaded
    });
    let good = chat_body(true);
    assert!(
        is_own_response(&fleet.chat(&good, ""), &good),
        "short requests are still served"
    );
    drop(holders);
    fleet.wait_for("there is room again", |fleet| {
        let response = exchange(fleet.address(), &long);
        refusal_of(&response).code == RefusalCode::MalformedRequest
    });
    fleet.stop();
}

/// Guards against a lost refusal: a long body is refused before it was read, and closing the
/// connection resets it, so the client could not tell whether its booking ran.
#[test]
fn a_refusal_reaches_a_client_that_is_still_sending() {
    let fleet = TestFleet::start(GatewaySettings {
        max_body_bytes: 1000,
        ..GatewaySettings::default()
    });
    let body = "x".repeat(1_000_000);
    let cases = [
        ("/v1/services/studio-desk/b", RefusalCode::TooLarge),
        ("/v2/unknown", RefusalCode::UnknownPath),
    ];
    for (path, code) in cases {
        // With small buffers the client is still sending when the request is refused.
        let mut client = socket_with_small_buffers(fleet.address());
        client.write_all(&post(path, "", &body)).unwrap();
        assert_eq!(refusal_of(&read_all(&mut client)).code, code);
    }
    assert!(fleet.records().is_empty());
    fleet.stop();
}

/// Guards against an engine that keeps generating tokens nobody reads while others queue: the
/// client disconnects in the middle of a long response.
#[test]
fn a_disconnected_client_ends_the_work_of_the_engine() {
    let fleet = TestFleet::start(GatewaySettings::default());
    for streamed in [true, false] {
        let chat = ChatBody {
            max_tokens: Some(100_000),
            ..chat_body(streamed)
        };
        let body = serde_json::to_string(&chat).unwrap();
        let previous_runs = fleet.engines[0].records().len();
        let mut client = connect(fleet.address());
        client
            .write_all(&post("/v1/chat/completions", "", &body))
            .unwrap();
        let runs = |fleet: &TestFleet| fleet.engines[0].records();
        match streamed {
            true => drop(read_until(&mut client, "token_index\":3")),
            false => fleet.wait_for("the engine starts the request", |fleet| {
                runs(fleet).len() > previous_runs
            }),
        }
        client.shutdown(Shutdown::Both).unwrap();
        fleet.wait_for("the engine cancels the request", |fleet| {
            runs(fleet)
                .iter()
                .all(|run| run.end == RunStatus::Cancelled)
        });
        // The closed connection alone may end the work; an engine that does not watch it gets a
        // cancellation.
        fleet.wait_for("the engine gets a cancellation", |fleet| {
            let cancelled_ids = fleet.engines[0].cancelled_requests();
            runs(fleet)
                .iter()
                .all(|run| cancelled_ids.contains(&run.request_id))
        });
    }
    let outcomes = fleet.stop().outcomes();
    assert_eq!(
        outcomes,
        [AttemptOutcome::Cancelled, AttemptOutcome::Cancelled]
    );
}

/// Guards against a client that requests a long stream and never reads it: the engine's work for it
/// must end, and other customers' streams must not wait.
#[test]
fn a_client_that_reads_nothing_is_closed_and_delays_no_one() {
    let fleet = TestFleet::start(GatewaySettings {
        write_timeout: Duration::from_millis(200),
        send_buffer_bytes: 4096,
        ..GatewaySettings::default()
    });
    let chat = ChatBody {
        max_tokens: Some(1_000_000),
        ..chat_body(true)
    };
    let body = serde_json::to_string(&chat).unwrap();
    let small = socket_with_small_buffers(fleet.address());
    let mut client = small;
    client
        .write_all(&post("/v1/chat/completions", "", &body))
        .unwrap();
    fleet.wait_for("the engine starts the request", |fleet| {
        !fleet.engines[0].records().is_empty()
    });
    let good = chat_body(true);
    assert!(is_own_response(&fleet.chat(&good, ""), &good));
    fleet.wait_for("the engine cancels the request", |fleet| {
        fleet.engines[0].records()[0].end == RunStatus::Cancelled
    });
    fleet.stop();
}

/// Opens a connection with small socket buffers, so that little unread data is in transit.
fn socket_with_small_buffers(address: std::net::SocketAddr) -> std::net::TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(1024).unwrap();
    socket.set_send_buffer_size(65536).unwrap();
    socket.connect(&address.into()).unwrap();
    socket.into()
}
