//! Failure domains that an edge considers unreachable.

use ragwortroad_dispatch::prelude::*;

fn unreachable(reach: &DomainReach) -> Vec<&str> {
    reach.unreachable().collect()
}

/// Guards against clients that wait for one endpoint after another of a domain without power.
#[test]
fn a_few_silent_endpoints_make_their_domain_unreachable() {
    let mut reach = DomainReach::default();
    assert!(!reach.note_silent("a", EndpointKey(1)));
    assert!(!reach.note_silent("a", EndpointKey(2)));
    assert!(reach.is_reachable("a"));
    assert!(reach.note_silent("a", EndpointKey(3)));
    assert!(
        !reach.note_silent("a", EndpointKey(4)),
        "the domain was unreachable already"
    );
    assert_eq!(unreachable(&reach), ["a"]);
    assert!(reach.is_reachable("b"));
}

/// Guards against a domain that is given up for a single endpoint which fails repeatedly.
#[test]
fn one_silent_endpoint_leaves_its_domain_reachable() {
    let mut reach = DomainReach::default();
    for _ in 0..20 {
        assert!(!reach.note_silent("a", EndpointKey(1)));
    }
    assert!(reach.is_reachable("a"));
}

/// Guards against a domain that is given up for single failures, or never used again.
#[test]
fn any_response_makes_a_domain_reachable() {
    let mut reach = DomainReach::default();
    for endpoint in 0..9 {
        assert!(!reach.note_silent("a", EndpointKey(endpoint)));
        assert!(!reach.note_response("a"));
    }
    for endpoint in 0..3 {
        reach.note_silent("a", EndpointKey(endpoint));
    }
    assert!(!reach.is_reachable("a"));
    assert!(reach.note_response("a"));
    assert!(reach.is_reachable("a"));
    assert_eq!(unreachable(&reach), Vec::<&str>::new());
}
