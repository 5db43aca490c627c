//! Tests the output forms with a short history: a failover, and a request on two nodes.

use ragwortroad_timeline::prelude::*;
use ragwortroad_types::prelude::*;

/// 2 December 2026, 23:13:16 UTC.
const START_MS: u64 = 1_796_253_196_000;

fn event_at(ms: u64, kind: EventKind) -> FleetEvent {
    FleetEvent {
        stamp: HybridTime::from_wall_ms(START_MS + ms),
        ..FleetEvent::new(kind)
    }
}

fn request_event(ms: u64, kind: EventKind) -> FleetEvent {
    FleetEvent {
        request: Some(RequestId(0xfeed)),
        chat: Some(ChatKey::from_parts("studio-north", "chat-17")),
        customer: Some("studio-north".into()),
        endpoint: Some("caption-llm-3".into()),
        ..event_at(ms, kind)
    }
}

fn with_subject(who: &str, event: FleetEvent) -> FleetEvent {
    FleetEvent {
        who: Some(who.into()),
        ..event
    }
}

fn part(node: &str, zone: &str, events: Vec<FleetEvent>, limit: usize) -> NodeTimeline {
    let mut ring = EventRing::new(RingSettings {
        max_traffic_events: 3,
        max_control_events: 10,
    });
    for event in events {
        ring.record(event);
    }
    ring.query(node, zone, &EventFilter::default(), limit)
}

fn history() -> FleetTimeline {
    let old_leader_events = vec![
        FleetEvent {
            term: Some(3),
            ..event_at(0, EventKind::LeaderElected)
        },
        FleetEvent {
            term: Some(3),
            detail: "lost its quorum".into(),
            ..event_at(15_250, EventKind::LeaderDeposed)
        },
    ];
    let new_leader_events = vec![
        with_subject("rvk-a-1", event_at(12_000, EventKind::NodeSuspected)),
        FleetEvent {
            term: Some(4),
            ..event_at(12_900, EventKind::ElectionStarted)
        },
        FleetEvent {
            term: Some(4),
            ..event_at(12_910, EventKind::LeaderElected)
        },
        FleetEvent {
            term: Some(4),
            fence: Some(FencingToken(8)),
            ..event_at(16_000, EventKind::LeaseGranted)
        },
        request_event(16_100, EventKind::RequestAdmitted),
        request_event(16_104, EventKind::RequestDispatched),
        request_event(16_109, EventKind::RequestRetried),
        request_event(17_300, EventKind::RequestFinished),
    ];
    let third_node_events = vec![
        with_subject("rvk-a-1", event_at(17_000, EventKind::NodeDown)),
        request_event(16_111, EventKind::RequestDispatched),
        FleetEvent {
            detail: "<script>alert(1)</script>".into(),
            ..event_at(17_500, EventKind::EndpointLeft)
        },
    ];
    let unreachable = UnreachableNode {
        node: "kef-c-1".into(),
        reason: "no answer within 2 s".into(),
    };
    let parts = vec![
        part("rvk-a-1", "rvk-a", old_leader_events, 100),
        part("hfj-b-1", "hfj-b", new_leader_events, 6),
        part("hfj-b-2", "hfj-b", third_node_events, 100),
    ];
    FleetTimeline::merge(parts, vec![unreachable])
}

#[test]
fn text_form() {
    insta::assert_snapshot!(history().to_text());
}

#[test]
fn json_form() {
    insta::assert_snapshot!(history().to_json());
}

#[test]
fn trace_form() {
    insta::assert_snapshot!(history().to_trace());
}

#[test]
fn page_form() {
    let page = history().to_html();
    // The page must not load other resources, and text of an event must not run as a script.
    for forbidden in [
        "http:",
        "https:",
        "src=",
        "href=",
        "@import",
        "<script>alert",
    ] {
        assert!(!page.contains(forbidden), "{forbidden}");
    }
    insta::assert_snapshot!(page);
}

/// Guards against events of requests that evict the events of a failover from the ring.
#[test]
fn request_events_do_not_evict_a_failover() {
    let settings = RingSettings {
        max_traffic_events: 100,
        max_control_events: 10,
    };
    let mut ring = EventRing::new(settings);
    ring.record(event_at(0, EventKind::LeaderElected));
    for ms in 0..1000 {
        ring.record(request_event(ms, EventKind::RequestAdmitted));
    }
    assert_eq!((ring.len(), ring.lost()), (101, 900));
    let filter = EventFilter {
        kinds: vec![EventKind::LeaderElected],
        ..EventFilter::default()
    };
    let part = ring.query("a", "zone", &filter, 10);
    assert_eq!(
        (part.events.len(), part.lost_traffic, part.lost_control),
        (1, 900, 0)
    );
}

#[test]
fn filters_match_each_field() {
    let mut ring = EventRing::new(RingSettings::default());
    ring.record(event_at(0, EventKind::LeaderElected));
    ring.record(request_event(5, EventKind::RequestAdmitted));
    ring.record(request_event(9, EventKind::RequestFinished));
    let count = |filter: EventFilter| ring.query("a", "zone", &filter, 10).events.len();
    let all = EventFilter::default();
    assert_eq!(count(all.clone()), 3);
    assert_eq!(
        count(EventFilter {
            request: Some(RequestId(0xfeed)),
            ..all.clone()
        }),
        2
    );
    assert_eq!(
        count(EventFilter {
            customer: Some("other".into()),
            ..all.clone()
        }),
        0
    );
    assert_eq!(
        count(EventFilter {
            endpoint: Some("caption-llm-3".into()),
            ..all.clone()
        }),
        2
    );
    let chat = ChatKey::from_parts("studio-north", "chat-17");
    assert_eq!(
        count(EventFilter {
            chat: Some(chat),
            ..all.clone()
        }),
        2
    );
    assert_eq!(
        count(EventFilter {
            kinds: vec![EventKind::RequestFinished],
            ..all.clone()
        }),
        1
    );
    let (from_ms, until_ms) = (Some(START_MS + 5), Some(START_MS + 9));
    assert_eq!(
        count(EventFilter {
            from_ms,
            until_ms,
            ..all
        }),
        1
    );
    assert!("leader_elected".parse::<EventKind>().is_ok());
    let error = "leader".parse::<EventKind>().unwrap_err().to_string();
    assert!(error.contains("leader_deposed"), "{error}");
}

#[test]
fn node_timelines_round_trip_and_redact_customers() {
    let part = part("a", "zone", vec![request_event(1, EventKind::ClaimMade)], 5);
    let read = NodeTimeline::from_bytes(&part.to_bytes()).unwrap();
    assert_eq!(read, part);
    assert!(
        !String::from_utf8(read.redact_customers().to_bytes())
            .unwrap()
            .contains("studio-north")
    );
}

#[test]
fn every_kind_has_one_name_in_all_forms() {
    for kind in EventKind::ALL {
        let json = serde_json::to_string(&kind).unwrap();
        assert_eq!(json, format!("\"{}\"", kind.name()));
        assert_eq!(kind.name().parse::<EventKind>().unwrap(), kind);
    }
}
