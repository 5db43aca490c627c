//! Callers, endpoints and operators through one gateway, with nothing amiss.

mod common;

use std::time::Duration;

use common::test_fleet::{
    TestFleet,
    chat_body,
    is_own, //
};
use ragwortroad_gateway::prelude::*;
use ragwortroad_load::prelude::*;

#[test]
fn chats_bookings_and_reads_get_their_own_answers() {
    let fleet = TestFleet::start(GatewaySettings::default());
    let address = fleet.address().to_string();
    fleet.control.routes.lock().unwrap().addresses = vec![address.clone()];
    let settings = LoadSettings {
        nodes: vec![address],
        customers: vec![CustomerLoad {
            name: "studio-north".to_owned(),
            key: "k".to_owned(),
            weight: 1.0,
        }],
        duration: Duration::from_millis(1500),
        resend_percent: 0,
        pause: Duration::from_millis(200),
        ..LoadSettings::default()
    };
    let mut report = run_load(settings).unwrap();
    assert!(report.verify(&fleet.records()), "{report}");
    assert_eq!(report.answered(), report.calls(), "{report}");
    assert!(report.calls() > 20, "{report}");
    assert!(report.cache_reuse > 0.5, "{report}");
    fleet.stop();
}

#[test]
fn a_stream_comes_whole_with_hint_and_request_id() {
    let fleet = TestFleet::start(GatewaySettings::default());
    let chat = chat_body(true);
    let answer = fleet.chat(&chat, "");
    assert!(is_own(&answer, &chat), "{answer}");
    assert!(answer.contains("x-placement-hint: hint-1\r\n"));
    let id = &fleet.records()[0].request_id;
    assert!(answer.contains(&format!("x-request-id: {id}\r\n")));
    fleet.stop();
}
