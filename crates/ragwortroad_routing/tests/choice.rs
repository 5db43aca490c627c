//! Choice of an endpoint for a request, and of nodes for its client.

use std::time::Duration;

use proptest::prelude::*;

use ragwortroad_routing::prelude::*;
use ragwortroad_types::prelude::*;

const OFFER: OfferKey = OfferKey(1);

fn engine_id(engine: u64) -> EndpointId {
    EndpointId::from_name(&format!("engine-{engine}"))
}

/// A table at node 1, which is the home of all `engines`.
fn table_of(engines: u64) -> RouteTable {
    let mut table = RouteTable::new(RouteSettings {
        node: NodeId(1),
        ..RouteSettings::default()
    });
    for engine in 0..engines {
        let facts = EndpointFacts {
            id: engine_id(engine),
            kind: EndpointKind::Engine,
            fleet: FleetKey(1),
            zone: ZoneKey(engine % 3),
            capacity: 16,
            offers: vec![OFFER],
            home: NodeId(1),
            leaving: false,
            drained: false,
        };
        table.upsert_endpoint(facts, ClockTime::ZERO);
    }
    table
}

fn query(chat: u64) -> RouteQuery<'static> {
    RouteQuery {
        offer: OFFER,
        chat: Some(ChatKey(chat)),
        ..RouteQuery::default()
    }
}

fn admitted(decision: RouteDecision) -> (EndpointId, SlotId) {
    match decision {
        RouteDecision::Admit { endpoint, slot, .. } => (endpoint, slot),
        other => panic!("not admitted: {other:?}"),
    }
}

/// Routes a request, ends it at once and returns its endpoint.
fn route_and_release(table: &mut RouteTable, query: &RouteQuery<'_>) -> EndpointId {
    let (endpoint, slot) = admitted(table.choose(query, ClockTime(5)));
    table.release(endpoint, slot, SlotOutcome::Succeeded, ClockTime(5));
    endpoint
}

#[test]
fn a_chat_returns_to_its_engine_while_others_come_and_go() {
    let mut table = table_of(12);
    let engines: Vec<EndpointId> = (1..200)
        .map(|chat| route_and_release(&mut table, &query(chat)))
        .collect();
    table.remove_endpoint(engine_id(3));
    for (chat, engine) in (1..200).zip(engines) {
        if engine != engine_id(3) {
            assert_eq!(
                route_and_release(&mut table, &query(chat)),
                engine,
                "chat {chat}"
            );
        }
    }
}

/// Guards against requests that a wrong hint sends to an engine without the model, or to an unknown
/// one.
#[test]
fn a_hint_to_a_wrong_engine_is_ignored() {
    let mut table = table_of(4);
    let other = EndpointFacts {
        id: EndpointId(99),
        kind: EndpointKind::Engine,
        fleet: FleetKey(2),
        zone: ZoneKey(0),
        capacity: 16,
        offers: vec![OfferKey(2)],
        home: NodeId(1),
        leaving: false,
        drained: false,
    };
    table.upsert_endpoint(other, ClockTime::ZERO);
    for hint in [EndpointId(99), EndpointId(12_345)] {
        let hinted = RouteQuery {
            hint: Some(hint),
            ..query(7)
        };
        assert_ne!(route_and_release(&mut table, &hinted), hint);
    }
}

/// Guards against chats whose context is spread over the fleet: one that finds its engine full
/// first waits, and then always falls back to the same second engine.
#[test]
fn a_chat_waits_for_its_full_engine_and_then_keeps_to_the_same_second_one() {
    let prefixes: Vec<PrefixKey> = (0..10).map(PrefixKey).collect();
    let mut table = table_of(6);
    let query = RouteQuery {
        prefixes: &prefixes,
        ..query(7)
    };
    let first = route_and_release(&mut table, &query);
    while let SlotAnswer::Granted { .. } = table.grant_slot(
        first,
        NodeId(2),
        CustomerKey(1),
        AdmissionClass::Returning,
        ClockTime(6),
    ) {}
    let decision = table.choose(&query, ClockTime(6));
    assert!(
        matches!(decision, RouteDecision::Hold { .. }),
        "{decision:?}"
    );
    let waited = RouteQuery {
        waited: Duration::from_millis(450),
        hint: Some(first),
        ..query
    };
    let second = route_and_release(&mut table, &waited);
    assert_ne!(second, first);
    for _ in 0..5 {
        assert_eq!(route_and_release(&mut table, &waited), second);
    }
}

#[test]
fn a_request_without_a_chat_follows_cache_events() {
    let prefixes: Vec<PrefixKey> = (100..120).map(PrefixKey).collect();
    let mut table = table_of(12);
    let events: Vec<CacheEvent> = prefixes
        .iter()
        .enumerate()
        // Every fifth event is lost.
        .filter(|(index, _)| index % 5 != 4)
        .map(|(index, prefix)| CacheEvent {
            sequence: index as u64,
            change: CacheChange::Stored,
            prefix: *prefix,
        })
        .collect();
    table.observe_cache(engine_id(5), &events, ClockTime(2));
    assert_eq!(table.lost_events(), 3);
    let without_chat = RouteQuery {
        offer: OFFER,
        prefixes: &prefixes,
        ..RouteQuery::default()
    };
    let decision = table.choose(&without_chat, ClockTime(5));
    assert!(matches!(
        decision,
        RouteDecision::Admit { endpoint, reason: RouteReason::Prefix, .. }
            if endpoint == engine_id(5)
    ));
}

/// Guards against an engine that fails at once, so that it looks idle and attracts all requests.
#[test]
fn an_engine_that_fails_fast_attracts_no_work() {
    let mut table = table_of(12);
    let mut failed = 0;
    for round in 0..6_000_u64 {
        let now = ClockTime(100 + round * 10);
        let query = RouteQuery {
            salt: round,
            offer: OFFER,
            ..RouteQuery::default()
        };
        let (endpoint, slot) = admitted(table.choose(&query, now));
        let broken = endpoint == engine_id(4);
        failed += u32::from(broken);
        let outcome = if broken {
            SlotOutcome::Failed
        } else {
            SlotOutcome::Succeeded
        };
        table.release(endpoint, slot, outcome, now);
    }
    assert!(failed <= 20, "{failed} of 6000 requests in a minute failed");
}

#[test]
fn addresses_are_stable_while_their_nodes_live() {
    let mut table = table_of(3);
    let nodes: Vec<NodeId> = (1..10).map(NodeId).collect();
    table.set_nodes(&nodes);
    for chat in 0..300 {
        let chat = Some(ChatKey(chat));
        let all = table.addresses_for(chat, None, 0, 3);
        assert_eq!(all.len(), 3);
        let mut fewer = table.clone();
        let rest: Vec<NodeId> = nodes
            .iter()
            .copied()
            .filter(|node| *node != all[1])
            .collect();
        fewer.set_nodes(&rest);
        let left = fewer.addresses_for(chat, None, 0, 3);
        assert_eq!((left[0], left[1]), (all[0], all[2]));
    }
    let hinted = table.addresses_for(Some(ChatKey(5)), Some(engine_id(2)), 0, 3);
    assert_eq!(
        hinted[0],
        NodeId(1),
        "the home of the hint's engine comes first"
    );
}

proptest! {
    #[test]
    fn an_altered_hint_decodes_to_none(endpoint: u64, secret: u64, place in 0..32_usize, digit in 0..16_u32) {
        let codec = HintCodec::new(secret);
        let customer = CustomerKey::from_name("school-1");
        let hint = codec.encode(customer, EndpointId(endpoint));
        prop_assert_eq!(codec.decode(customer, &hint), Some(EndpointId(endpoint)));
        prop_assert_eq!(codec.decode(CustomerKey::from_name("school-2"), &hint), None);
        let mut altered = hint.clone();
        let digit = char::from_digit(digit, 16).unwrap().to_string();
        altered.replace_range(place..=place, &digit);
        if altered != hint {
            prop_assert_eq!(codec.decode(customer, &altered), None);
        }
    }

    #[test]
    fn decoding_any_text_as_a_hint_never_panics(text: String) {
        HintCodec::new(1).decode(CustomerKey(1), &text);
    }
}
