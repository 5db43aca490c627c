//! Requests to a nearly idle service through a node that is not its home.

#![allow(clippy::unwrap_used)]

use ragwortroad_demo::prelude::*;
use serde_json::Value;

/// More requests than the total capacity of all replicas.
const REQUESTS: usize = 200;

/// Guards against nodes that refuse requests to an idle service as if it were at capacity, because
/// they are not its home.
#[test]
fn an_idle_service_stays_open_to_nodes_that_are_not_its_home() {
    let plan = FleetPlan {
        engines: 0,
        services: 2,
        ..FleetPlan::default()
    };
    let fleet = SmallFleet::start(plan).unwrap();
    fleet.declare().unwrap();
    let address = node_without_endpoints(&fleet);
    let key = FleetPlan::key_of(&fleet.plan.customers[0]);
    let service = &fleet.plan.service;
    let url = format!("http://{address}/v1/services/{service}/slots/1");
    let refused = (0..REQUESTS).filter(|_| {
        let response = minreq::get(&url)
            .with_header("Authorization", format!("Bearer {key}"))
            .send()
            .unwrap();
        response.status_code != 200
    });
    assert_eq!(refused.count(), 0);
    fleet.stop();
}

/// Returns the client address of a node that is not the home of any endpoint.
fn node_without_endpoints(fleet: &SmallFleet) -> String {
    let endpoints = fleet.operator().ask("show endpoints").unwrap().body;
    let rows = endpoints["rows"].as_array().unwrap();
    let homes: Vec<&str> = rows.iter().filter_map(|row| row["home"].as_str()).collect();
    let nodes = fleet.operator().ask("show nodes").unwrap().body;
    let rows = nodes["rows"].as_array().unwrap();
    let is_not_home = |row: &&Value| !homes.contains(&row["name"].as_str().unwrap());
    let node = rows.iter().find(is_not_home).unwrap();
    node["address"].as_str().unwrap().to_owned()
}
