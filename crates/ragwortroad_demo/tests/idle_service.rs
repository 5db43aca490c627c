//! A service that is nearly idle, called through a node that is not its home.

#![allow(clippy::unwrap_used)]

use ragwortroad_demo::prelude::*;
use serde_json::Value;

/// More calls than all replicas together have room for.
const CALLS: usize = 200;

/// Guards against an idle service that nodes other than its home refuse as full.
#[test]
fn an_idle_service_stays_open_to_nodes_that_are_not_its_home() {
    let plan = FleetPlan {
        engines: 0,
        services: 2,
        ..FleetPlan::default()
    };
    let fleet = SmallFleet::start(plan).unwrap();
    fleet.declare().unwrap();
    let stranger = node_that_is_no_home(&fleet);
    let key = FleetPlan::key_of(&fleet.plan.customers[0]);
    let service = &fleet.plan.service;
    let url = format!("http://{stranger}/v1/services/{service}/slots/1");
    let refused = (0..CALLS).filter(|_| {
        let answer = minreq::get(&url)
            .with_header("Authorization", format!("Bearer {key}"))
            .send()
            .unwrap();
        answer.status_code != 200
    });
    assert_eq!(refused.count(), 0);
    fleet.stop();
}

/// The caller address of a node that is home to no endpoint.
fn node_that_is_no_home(fleet: &SmallFleet) -> String {
    let endpoints = fleet.operator().ask("show endpoints").unwrap().body;
    let rows = endpoints["rows"].as_array().unwrap();
    let homes: Vec<&str> = rows.iter().filter_map(|row| row["home"].as_str()).collect();
    let nodes = fleet.operator().ask("show nodes").unwrap().body;
    let rows = nodes["rows"].as_array().unwrap();
    let is_stranger = |row: &&Value| !homes.contains(&row["name"].as_str().unwrap());
    let stranger = rows.iter().find(is_stranger).unwrap();
    stranger["address"].as_str().unwrap().to_owned()
}
