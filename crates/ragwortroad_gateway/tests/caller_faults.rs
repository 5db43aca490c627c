//! Callers that send badly, slowly, or go away.
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
        is_own,
        refusal_of, //
    }, //
};
use ragwortroad_gateway::prelude::*;
use ragwortroad_standin::prelude::*;
use ragwortroad_types::prelude::*;

/// A refusal as it goes into a snapshot, with what differs from run to run left out.
fn shown(name: &str, answer: &str) -> String {
    let status = answer.lines().next().unwrap_or_default();
    let mut detail = refusal_of(answer);
    assert_eq!(detail.request_id.len(), 16, "{name}");
    detail.request_id = "ID".to_owned();
    let wire = RefusalWire { error: detail };
    let json = serde_json::to_string_pretty(&wire).unwrap();
    format!("== {name}\n{status}\n{json}\n\n")
}

#[test]
fn every_bad_request_gets_a_typed_refusal() {
    // Bad input of every kind arrives in turn. Each is refused as not run, with a code and a
    // remedy, and the node goes on serving the others.
    let fleet = TestFleet::start(GatewaySettings {
        max_body: 2000,
        max_header: 8192,
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
        all += &shown(name, &exchange(fleet.address(), &bytes));
        let good = chat_body(true);
        assert!(is_own(&fleet.chat(&good, ""), &good), "after: {name}");
    }
    insta::assert_snapshot!(all);
    fleet.stop();
}

#[test]
fn silent_and_slow_callers_are_closed_and_hold_up_nobody() {
    // Callers open connections and send nothing, leave a head or a body unfinished, or stay after
    // their answer. Each would hold a connection for ever.
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
    assert!(is_own(&fleet.chat(&good, ""), &good));
    assert_eq!(read_all(&mut silent), "");
    assert_eq!(read_all(&mut slow), "");
    assert_eq!(read_all(&mut served), "");
    let refusal = refusal_of(&read_all(&mut stuck));
    assert_eq!(refusal.outcome, RequestOutcome::NotRun);
    assert_eq!(refusal.code, RefusalCode::DeadlinePassed);
    fleet.stop();
}

#[test]
fn a_head_that_trickles_in_does_not_extend_its_own_time() {
    // A caller sends one byte of its head again and again, each well within the limit.
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

#[test]
fn callers_beyond_the_limit_of_connections_are_told_so() {
    // One caller opens more connections than the node has room for, in all or from one VM.
    let limits = GatewaySettings::default();
    let (all, own) = (limits.max_connections, limits.max_per_address);
    for (max_connections, max_per_address) in [(4, own), (all, 4)] {
        turns_away(GatewaySettings {
            max_connections,
            max_per_address,
            ..GatewaySettings::default()
        });
    }
}

/// Fills a gateway that takes four connections, and then makes room.
fn turns_away(settings: GatewaySettings) {
    let fleet = TestFleet::start(settings);
    let mut held: Vec<_> = (0..4).map(|_| connect(fleet.address())).collect();
    for stream in &mut held {
        stream
            .write_all(b"GET /healthz HTTP/1.1\r\nhost: n\r\n\r\n")
            .unwrap();
        read_until(stream, "ok\n");
    }
    let mut turned_away = connect(fleet.address());
    let refusal = refusal_of(&read_until(&mut turned_away, "}}"));
    assert_eq!(refusal.outcome, RequestOutcome::NotRun);
    assert_eq!(refusal.code, RefusalCode::Overloaded);
    drop(held);
    fleet.wait_for("there is room again", |fleet| {
        let mut stream = connect(fleet.address());
        let sent = stream.write_all(b"GET /healthz HTTP/1.1\r\nhost: n\r\n\r\n");
        let mut buffer = [0; 12];
        sent.is_ok() && stream.read_exact(&mut buffer).is_ok() && buffer.ends_with(b"200")
    });
    fleet.stop();
}

#[test]
fn bodies_beyond_the_nodes_memory_are_refused_as_not_run() {
    // Callers send long bodies and do not finish them. Each is within its own limit; together they
    // would take all memory, and the process with every stream in it would end.
    let fleet = TestFleet::start(GatewaySettings {
        max_body: 100_000,
        max_bodies: 150_000,
        ..GatewaySettings::default()
    });
    let long = post("/v1/chat/completions", "", &"x".repeat(90_000));
    let mut holders = Vec::new();
    fleet.wait_for("there is no room", |fleet| {
        // One holder may itself find no room beside the whole request below, so each time there is
        // one more.
        let mut holder = connect(fleet.address());
        holder.write_all(&long[..long.len() - 10]).unwrap();
        holders.push(holder);
        let answer = exchange(fleet.address(), &long);
        refusal_of(&answer).code == RefusalCode::Overloaded
    });
    let good = chat_body(true);
    assert!(
        is_own(&fleet.chat(&good, ""), &good),
        "short ones still pass"
    );
    drop(holders);
    fleet.wait_for("there is room again", |fleet| {
        let answer = exchange(fleet.address(), &long);
        refusal_of(&answer).code == RefusalCode::MalformedRequest
    });
    fleet.stop();
}

#[test]
fn a_refusal_reaches_a_caller_that_is_still_sending() {
    // A long body is refused before it was read. Closing then resets the connection, and the caller
    // would see a broken connection and not know whether its booking ran.
    let fleet = TestFleet::start(GatewaySettings {
        max_body: 1000,
        ..GatewaySettings::default()
    });
    let body = "x".repeat(1_000_000);
    let cases = [
        ("/v1/services/studio-desk/b", RefusalCode::TooLarge),
        ("/v2/unknown", RefusalCode::UnknownPath),
    ];
    for (path, code) in cases {
        // With a small buffer the caller is still sending when the refusal is decided.
        let mut caller = socket_with_small_buffers(fleet.address());
        caller.write_all(&post(path, "", &body)).unwrap();
        assert_eq!(refusal_of(&read_all(&mut caller)).code, code);
    }
    assert!(fleet.records().is_empty());
    fleet.stop();
}

#[test]
fn a_caller_that_leaves_ends_the_engines_work() {
    // An instructor closes the application in the middle of a long note. The engine would go on
    // with tokens that nobody reads, while others queue.
    let fleet = TestFleet::start(GatewaySettings::default());
    for streamed in [true, false] {
        let chat = ChatBody {
            max_tokens: Some(100_000),
            ..chat_body(streamed)
        };
        let body = serde_json::to_string(&chat).unwrap();
        let begun = fleet.engines[0].records().len();
        let mut caller = connect(fleet.address());
        caller
            .write_all(&post("/v1/chat/completions", "", &body))
            .unwrap();
        let runs = |fleet: &TestFleet| fleet.engines[0].records();
        match streamed {
            true => drop(read_until(&mut caller, "token_index\":3")),
            false => fleet.wait_for("the engine works", |fleet| runs(fleet).len() > begun),
        }
        caller.shutdown(Shutdown::Both).unwrap();
        fleet.wait_for("the engine stops", |fleet| {
            runs(fleet)
                .iter()
                .all(|run| run.end == RunStatus::Cancelled)
        });
        // The closed connection may do it as well; an engine that does not look at it is told.
        fleet.wait_for("the engine is told", |fleet| {
            let told = fleet.engines[0].cancelled_requests();
            runs(fleet).iter().all(|run| told.contains(&run.request_id))
        });
    }
    let outcomes = fleet.stop().outcomes();
    assert_eq!(
        outcomes,
        [AttemptOutcome::Cancelled, AttemptOutcome::Cancelled]
    );
}

#[test]
fn a_caller_that_reads_nothing_is_closed_and_holds_up_nobody() {
    // A caller asks for a long stream and never reads it. The engine's work for it must end, and
    // other customers' streams must not wait.
    let fleet = TestFleet::start(GatewaySettings {
        write_timeout: Duration::from_millis(200),
        send_buffer: 4096,
        ..GatewaySettings::default()
    });
    let chat = ChatBody {
        max_tokens: Some(1_000_000),
        ..chat_body(true)
    };
    let body = serde_json::to_string(&chat).unwrap();
    let small = socket_with_small_buffers(fleet.address());
    let mut caller = small;
    caller
        .write_all(&post("/v1/chat/completions", "", &body))
        .unwrap();
    fleet.wait_for("the engine works", |fleet| {
        !fleet.engines[0].records().is_empty()
    });
    let good = chat_body(true);
    assert!(is_own(&fleet.chat(&good, ""), &good));
    fleet.wait_for("the engine stops", |fleet| {
        fleet.engines[0].records()[0].end == RunStatus::Cancelled
    });
    fleet.stop();
}

/// A connection that holds little that one side has written and the other has not read.
fn socket_with_small_buffers(address: std::net::SocketAddr) -> std::net::TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(1024).unwrap();
    socket.set_send_buffer_size(65536).unwrap();
    socket.connect(&address.into()).unwrap();
    socket.into()
}
