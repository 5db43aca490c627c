//! A node that drains and shuts down.
#![allow(clippy::unwrap_used)]

mod common;

use std::{
    io::Write,
    thread, //
};

use common::{
    raw_client::{
        connect,
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
use ragwortroad_types::prelude::*;

/// Guards against a stream cut off when its VM is replaced, and against a client with the old
/// address that is not told another one.
#[test]
fn a_drain_completes_requests_and_redirects_new_ones() {
    let fleet = TestFleet::start(GatewaySettings::default());
    let chat = ChatBody {
        max_tokens: Some(150),
        ..chat_body(true)
    };
    let body = serde_json::to_string(&chat).unwrap();
    let mut client = connect(fleet.address());
    client
        .write_all(&post("/v1/chat/completions", "", &body))
        .unwrap();
    let first_part = read_until(&mut client, "token_index\":2");
    let mut idle = connect(fleet.address());
    idle.write_all(b"GET /healthz HTTP/1.1\r\nhost: n\r\n\r\n")
        .unwrap();
    read_until(&mut idle, "ok\n");

    fleet.gateway.begin_drain();
    assert_eq!(fleet.gateway.in_flight(), 1);
    for response in [fleet.chat(&chat_body(true), ""), fleet.book("")] {
        let refusal = refusal_of(&response);
        assert_eq!(refusal.outcome, RequestOutcome::NotRun);
        assert_eq!(refusal.code, RefusalCode::NodeDraining);
        assert_eq!(refusal.addresses, ["192.0.2.7:80"]);
    }
    let reader = thread::spawn(move || first_part + &read_all(&mut client));
    let address = fleet.address();
    fleet.stop();
    let response = reader.join().unwrap();
    assert!(is_own_response(&response, &chat), "{response}");
    assert_eq!(read_all(&mut idle), "");
    assert!(std::net::TcpStream::connect(address).is_err());
}
