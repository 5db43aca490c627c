//! The samples of docs/INTERFACE.md: each request is sent, each answer compared.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    fs,
    path::Path, //
};

use ragwortroad_demo::prelude::*;
use serde_json::Value;

/// Headers of an answer that the page shows, in its order.
const SHOWN: [&str; 5] = [
    "content-type",
    "retry-after",
    "x-replayed",
    "x-request-id",
    "x-placement-hint",
];

/// Guards against a page of the interface that tells what is not so.
#[test]
fn the_interface_page_tells_the_truth() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/INTERFACE.md");
    let page = fs::read_to_string(path).unwrap();
    let fleet = SmallFleet::start(FleetPlan {
        engines: 1,
        services: 1,
        ..FleetPlan::default()
    })
    .unwrap();
    fleet.declare().unwrap();
    wait_until("all nodes", || {
        let answer = fleet.operator().ask("show nodes where admits = yes");
        let rows = answer
            .ok()
            .and_then(|answer| answer.body["rows"].as_array().map(Vec::len));
        rows == Some(3)
    })
    .unwrap();
    let addresses = fleet.client_addresses();
    let mut found = String::new();
    let mut samples = 0;
    for (number, part) in page.split("```").enumerate() {
        let text = match part.strip_prefix("http\n").filter(|_| number % 2 == 1) {
            Some(sample) => {
                samples += 1;
                format!("http\n{}", answered(sample, &addresses))
            }
            None => part.to_owned(),
        };
        let fence = if number == 0 { "" } else { "```" };
        found.push_str(fence);
        found.push_str(&text);
    }
    fleet.stop();
    assert!(samples >= 12, "the page has only {samples} samples");
    if page != found {
        let beside = Path::new(env!("CARGO_TARGET_TMPDIR")).join("INTERFACE.md");
        fs::write(&beside, &found).unwrap();
        let lines = page.lines().zip(found.lines());
        let first = lines.into_iter().find(|(page, found)| page != found);
        panic!(
            "the page differs from {}, first at {first:?}",
            beside.display()
        );
    }
}

/// The sample's request, followed by the answer that the fleet gives to it now.
fn answered(sample: &str, addresses: &[String]) -> String {
    let request = sample.split("\nHTTP ").next().unwrap().trim_end();
    let (head, body) = request.split_once("\n\n").unwrap_or((request, ""));
    let mut lines = head.lines();
    let (method, path) = lines.next().unwrap().split_once(' ').unwrap();
    let method = minreq::Method::Custom(method.to_owned());
    let mut call = minreq::Request::new(method, format!("http://{}{path}", addresses[0]))
        .with_follow_redirects(false)
        .with_timeout(30);
    for line in lines {
        let (name, value) = line.split_once(": ").unwrap();
        call = call.with_header(name, value);
    }
    if !body.is_empty() {
        call = call.with_body(body);
    }
    let answer = call.send().unwrap();
    let header = |wanted: &str| {
        let mut headers = answer.headers.iter();
        let found = headers.find(|(name, _)| name.eq_ignore_ascii_case(wanted));
        found.map_or("", |(_, value)| value.as_str())
    };
    let mut text = format!("HTTP {}\n", answer.status_code);
    for name in SHOWN {
        if !header(name).is_empty() {
            text.push_str(&format!("{name}: {}\n", header(name)));
        }
    }
    let body = answer.as_str().unwrap();
    let body = match serde_json::from_str::<Value>(body) {
        Ok(value) => serde_json::to_string_pretty(&value).unwrap(),
        Err(_) => body.trim_end().to_owned(),
    };
    text = format!("{text}\n{body}");
    for (value, word) in [
        (header("x-request-id"), "REQUEST"),
        (header("x-placement-hint"), "HINT"),
    ] {
        if !value.is_empty() {
            text = text.replace(value, word);
        }
    }
    for address in addresses {
        text = text.replace(address.as_str(), "IP:PORT");
    }
    format!("{request}\n\n{text}\n")
}
