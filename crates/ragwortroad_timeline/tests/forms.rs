//! The printed forms of a small history: a failover, and one request over two nodes.

use ragwortroad_timeline::prelude::*;
use ragwortroad_types::prelude::*;

/// 2 December 2026, 23:13:16 UTC.
const START: u64 = 1_796_253_196_000;

fn at(ms: u64, kind: EventKind) -> FleetEvent {
    FleetEvent {
        stamp: HybridTime::from_wall_ms(START + ms),
        ..FleetEvent::new(kind)
    }
}

fn of_request(ms: u64, kind: EventKind) -> FleetEvent {
    FleetEvent {
        request: Some(RequestId(0xfeed)),
        chat: Some(ChatKey::from_parts("studio-north", "chat-17")),
        customer: Some("studio-north".into()),
        endpoint: Some("caption-llm-3".into()),
        ..at(ms, kind)
    }
}

fn about(who: &str, event: FleetEvent) -> FleetEvent {
    FleetEvent {
        who: Some(who.into()),
        ..event
    }
}

fn part(node: &str, zone: &str, events: Vec<FleetEvent>, most: usize) -> NodeTimeline {
    let mut ring = EventRing::new(RingSettings {
        max_traffic_events: 3,
        max_control_events: 10,
    });
    for event in events {
        ring.record(event);
    }
    ring.query(node, zone, &EventFilter::default(), most)
}

fn history() -> FleetTimeline {
    let old = vec![
        FleetEvent {
            term: Some(3),
            ..at(0, EventKind::LeaderElected)
        },
        FleetEvent {
            term: Some(3),
            detail: "lost its quorum".into(),
            ..at(15_250, EventKind::LeaderDeposed)
        },
    ];
    let new = vec![
        about("rvk-a-1", at(12_000, EventKind::NodeSuspected)),
        FleetEvent {
            term: Some(4),
            ..at(12_900, EventKind::ElectionStarted)
        },
        FleetEvent {
            term: Some(4),
            ..at(12_910, EventKind::LeaderElected)
        },
        FleetEvent {
            term: Some(4),
            fence: Some(FenceNumber(8)),
            ..at(16_000, EventKind::LeaseGranted)
        },
        of_request(16_100, EventKind::RequestAdmitted),
        of_request(16_104, EventKind::RequestDispatched),
        of_request(16_109, EventKind::RequestRetried),
        of_request(17_300, EventKind::RequestFinished),
    ];
    let third = vec![
        about("rvk-a-1", at(17_000, EventKind::NodeDown)),
        of_request(16_111, EventKind::RequestDispatched),
        FleetEvent {
            detail: "<script>alert(1)</script>".into(),
            ..at(17_500, EventKind::EndpointLeft)
        },
    ];
    let away = UnreachableNode {
        node: "kef-c-1".into(),
        reason: "no answer within 2 s".into(),
    };
    let parts = vec![
        part("rvk-a-1", "rvk-a", old, 100),
        part("hfj-b-1", "hfj-b", new, 6),
        part("hfj-b-2", "hfj-b", third, 100),
    ];
    FleetTimeline::merge(parts, vec![away])
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
    // Nothing may come from elsewhere, and nothing of an event's text may run.
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

/// Guards against traffic that pushes a failover out of the time line.
#[test]
fn busy_traffic_does_not_push_out_a_failover() {
    let settings = RingSettings {
        max_traffic_events: 100,
        max_control_events: 10,
    };
    let mut ring = EventRing::new(settings);
    ring.record(at(0, EventKind::LeaderElected));
    for ms in 0..1000 {
        ring.record(of_request(ms, EventKind::RequestAdmitted));
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
fn filters_pick_by_each_field() {
    let mut ring = EventRing::new(RingSettings::default());
    ring.record(at(0, EventKind::LeaderElected));
    ring.record(of_request(5, EventKind::RequestAdmitted));
    ring.record(of_request(9, EventKind::RequestFinished));
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
    let (from_ms, until_ms) = (Some(START + 5), Some(START + 9));
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
fn parts_travel_and_hide_customers_where_wanted() {
    let part = part("a", "zone", vec![of_request(1, EventKind::ClaimMade)], 5);
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
