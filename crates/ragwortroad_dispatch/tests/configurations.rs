//! Validation of configurations, and matching of requests to routes.

mod common;

use std::time::Duration;

use common::{
    config,
    route, //
};
use ragwortroad_dispatch::prelude::*;

fn fault(change: impl FnOnce(&mut SiteConfig)) -> Option<ConfigFault> {
    let mut config = config(vec![route("a", "/x/"), route("a", "/x/y/")]);
    config.customers = Some(vec![
        customer("one", &["k1", "k2"]),
        customer("two", &["k3"]),
    ]);
    change(&mut config);
    config.check().err()
}

fn customer(name: &str, keys: &[&str]) -> CustomerRule {
    CustomerRule {
        name: name.to_owned(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        rank: None,
    }
}

#[test]
fn a_valid_configuration_is_accepted() {
    assert_eq!(fault(|_| {}), None);
}

/// Guards against configurations that leave requests without a target or with two.
#[test]
fn invalid_configurations_are_rejected_with_the_offending_item() {
    let unknown = fault(|config| config.routes[1].targets[0].service = "other".to_owned());
    assert!(
        matches!(unknown, Some(ConfigFault::UnknownService { route, .. }) if route == "a/x/y/")
    );
    let same = fault(|config| config.routes[1].path_prefix = "/x/".to_owned());
    assert!(matches!(same, Some(ConfigFault::DuplicateRoute { .. })));
    let weightless = fault(|config| config.routes[0].targets[0].weight = 0.0);
    assert!(matches!(weightless, Some(ConfigFault::NoWeight { .. })));
    let targetless = fault(|config| config.routes[0].targets.clear());
    assert!(matches!(targetless, Some(ConfigFault::NoWeight { .. })));
    let timeless = fault(|config| config.routes[0].timeout = Duration::ZERO);
    assert!(matches!(timeless, Some(ConfigFault::NoTimeout { .. })));
    let shared = fault(|config| {
        let customers = config.customers.as_mut().expect("customers");
        customers[1].keys.push("k2".to_owned());
    });
    assert!(matches!(shared, Some(ConfigFault::SharedKey { customer }) if customer == "two"));
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("a", "/"),
        route("a", "/x/y/"),
        route("a", "/x/"),
        route("b", "/z/"),
    ];
    let map = RouteMap::new(config(routes));
    let find = |host, path| map.find(host, path).map(|key| map.route(key).name.clone());
    assert_eq!(find("a", "/x/y/1").as_deref(), Some("a/x/y/"));
    assert_eq!(find("a:8080", "/x/1").as_deref(), Some("a/x/"));
    assert_eq!(find("A", "/x").as_deref(), Some("a/"));
    assert_eq!(find("b", "/x/"), None);
    assert_eq!(find("c", "/"), None);
}

#[test]
fn weights_share_the_requests() {
    let mut split = route("a", "/");
    split.targets = [("one", 0.0), ("two", 90.0), ("three", 10.0)]
        .map(|(service, weight)| RouteTarget {
            service: service.to_owned(),
            weight,
        })
        .to_vec();
    let map = RouteMap::new(config(vec![split]));
    let key = map.find("a", "/").expect("a route");
    let draw = |part: f64| map.draw_target(key, part);
    assert_eq!(
        [draw(0.0), draw(0.899), draw(0.901), draw(0.9999)],
        ["two", "two", "three", "three"]
    );
}

#[test]
fn a_customers_rank_overrides_the_routes() {
    let mut config = config(vec![route("a", "/")]);
    let urgent = CustomerRule {
        rank: Some(0),
        ..customer("one", &["k1"])
    };
    config.customers = Some(vec![urgent, customer("two", &["k2"])]);
    let map = RouteMap::new(config);
    let key = map.find("a", "/").expect("a route");
    let rank = |name| map.rank(key, map.customer_of(name));
    assert_eq!([rank("k1"), rank("k2"), rank("unknown")], [0, 3, 3]);
    assert_eq!(map.customer_of("unknown"), None);
}
