//! Sends the sample requests of `docs/INTERFACE.md` and compares the answers with the samples.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{
    fs,
    path::Path, //
};

use ragwortroad_demo::prelude::*;
use serde_json::Value;

/// Headers that the samples show, in the order of the samples.
const SHOWN_HEADERS: [&str; 5] = [
    "content-type",
    "retry-after",
    "x-replayed",
    "x-request-id",
    "x-placement-hint",
];

/// Guards against samples on the interface page that differ from what the fleet answers.
#[test]
fn interface_samples_match_actual_answers() {
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
    let mut actual = String::new();
    let mut samples = 0;
    for (number, part) in page.split("```").enumerate() {
        let text = match part.strip_prefix("http\n").filter(|_| number % 2 == 1) {
            Some(sample) => {
                samples += 1;
                format!("http\n{}", answer_sample(sample, &addresses))
            }
            None => part.to_owned(),
        };
        let fence = if number == 0 { "" } else { "```" };
        actual.push_str(fence);
        actual.push_str(&text);
    }
    fleet.stop();
    assert!(samples >= 12, "the page has only {samples} samples");
    if page != actual {
        let actual_path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("INTERFACE.md");
        fs::write(&actual_path, &actual).unwrap();
        let lines = page.lines().zip(actual.lines());
        let difference = lines.into_iter().find(|(page, actual)| page != actual);
        panic!(
            "the page differs from {}, first at {difference:?}",
            actual_path.display()
        );
    }
}

/// Sends the request of a sample; returns the request followed by the actual answer.
///
/// Ids, hints and addresses, which differ between runs, are replaced by placeholders.
fn answer_sample(sample: &str, addresses: &[String]) -> String {
    let request = sample.split("\nHTTP ").next().unwrap().trim_end();
    let (head, body) = request.split_once("\n\n").unwrap_or((request, ""));
    let mut lines = head.lines();
    let (method, path) = lines.next().unwrap().split_once(' ').unwrap();
    let method = minreq::Method::Custom(method.to_owned());
    let mut http_request = minreq::Request::new(method, format!("http://{}{path}", addresses[0]))
        .with_follow_redirects(false)
        .with_timeout(30);
    for line in lines {
        let (name, value) = line.split_once(": ").unwrap();
        http_request = http_request.with_header(name, value);
    }
    if !body.is_empty() {
        http_request = http_request.with_body(body);
    }
    let answer = http_request.send().unwrap();
    let header = |wanted: &str| {
        let mut headers = answer.headers.iter();
        let found = headers.find(|(name, _)| name.eq_ignore_ascii_case(wanted));
        found.map_or("", |(_, value)| value.as_str())
    };
    let mut text = format!("HTTP {}\n", answer.status_code);
    for name in SHOWN_HEADERS {
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
    for (value, placeholder) in [
        (header("x-request-id"), "REQUEST"),
        (header("x-placement-hint"), "HINT"),
    ] {
        if !value.is_empty() {
            text = text.replace(value, placeholder);
        }
    }
    for address in addresses {
        text = text.replace(address.as_str(), "IP:PORT");
    }
    format!("{request}\n\n{text}\n")
}
