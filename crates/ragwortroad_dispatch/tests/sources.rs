//! Which engine a prefix is copied from, and when it is computed again instead.

use ragwortroad_dispatch::prelude::*;

/// Engines whose cache transfers are forty times as fast as prefill.
fn fast_links() -> EngineRule {
    EngineRule {
        slots: 128,
        memory_tokens: 800_000,
        event_tokens: 6,
        token_bytes: 35_136.0,
        link_mbps: 1_100_000.0,
    }
}

fn source(key: u32, is_near: bool, load: u32) -> PrefixSource {
    PrefixSource {
        key: EndpointKey(key),
        is_near,
        load,
        failure_rate: 0.0,
    }
}

/// Guards against long prefixes that are computed again although a near engine holds them.
#[test]
fn a_long_prefix_is_copied_from_the_least_loaded_near_engine() {
    let sources = [source(1, false, 0), source(2, true, 9), source(3, true, 4)];
    let chosen = choose_source(&sources, 10_512, &fast_links());
    assert_eq!(chosen, Some(EndpointKey(3)));
    assert_eq!(choose_source(&[], 10_512, &fast_links()), None);
}

/// Guards against prefixes that are computed again because only failing engines hold them.
#[test]
fn a_failing_engine_is_the_last_source() {
    let failing = PrefixSource {
        failure_rate: 0.5,
        ..source(1, true, 0)
    };
    let sources = [failing, source(2, false, 7)];
    let chosen = choose_source(&sources, 10_512, &fast_links());
    assert_eq!(chosen, Some(EndpointKey(2)));
    let chosen = choose_source(&[failing], 10_512, &fast_links());
    assert_eq!(chosen, Some(EndpointKey(1)));
}

/// Guards against copies that take longer than computing the prefix.
#[test]
fn a_prefix_that_is_faster_to_compute_is_not_copied() {
    let sources = [source(1, true, 0)];
    let slow = EngineRule {
        link_mbps: 10_000.0,
        ..fast_links()
    };
    assert_eq!(choose_source(&sources, 10_512, &slow), None);
    let unknown = EngineRule {
        token_bytes: 0.0,
        link_mbps: 0.0,
        ..fast_links()
    };
    assert_eq!(choose_source(&sources, 10_512, &unknown), None);
    assert_eq!(choose_source(&sources, 200, &fast_links()), None);
}
