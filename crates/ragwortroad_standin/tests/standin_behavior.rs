//! Tests of the stand-in behavior that the tests of the fleet rely on.
#![allow(clippy::unwrap_used)]

use std::{
    sync::{
        Arc,
        Mutex, //
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use ragwortroad_standin::prelude::*;
use ragwortroad_types::prelude::*;
use tiny_http::{
    Response,
    Server, //
};

const TIMEOUT: Duration = Duration::from_secs(20);

fn node() -> (Server, String) {
    let server = Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_ip().unwrap().to_string();
    (server, address)
}

/// Receives one announcement and responds with the address for the next ones.
fn receive_announcement(node: &Server, next: &str) -> AnnounceWire {
    let mut request = node.recv_timeout(TIMEOUT).unwrap().unwrap();
    let wire = serde_json::from_reader(request.as_reader()).unwrap();
    let response = AnnounceResponse {
        announce_to: vec![next.to_owned()],
        every_ms: 5,
    };
    let body = serde_json::to_string(&response).unwrap();
    request.respond(Response::from_string(body)).unwrap();
    wire
}

fn order(engine: &StandinEngine, fence: u64, version: &str) -> u16 {
    let wire = OrderWire {
        fence: FencingToken(fence),
        number: 1,
        kind: OrderKind::Load {
            offer: ModelOffer {
                model: "caption".to_owned(),
                version: version.to_owned(),
                adapters: Vec::new(),
            },
        },
    };
    let url = format!("http://{}/v1/orders", engine.address());
    let body = serde_json::to_string(&wire).unwrap();
    let response = minreq::post(url).with_body(body).send().unwrap();
    response.status_code
}

fn send_chat(engine: &StandinEngine, chat: &ChatBody) -> serde_json::Value {
    let url = format!("http://{}/v1/chat/completions", engine.address());
    let body = serde_json::to_string(chat).unwrap();
    let request = minreq::post(url)
        .with_header("x-request-id", "1")
        .with_body(body);
    serde_json::from_slice(request.send().unwrap().as_bytes()).unwrap()
}

fn chat(text: &str) -> ChatBody {
    ChatBody {
        model: "caption".to_owned(),
        messages: vec![ChatMessage::text("user", &text.repeat(300))],
        max_tokens: Some(4),
        ..ChatBody::default()
    }
}

/// Guards against a home epoch that doesn't increase when a node redirects announcements to
/// another node. Both nodes then hold an announcement, and only the epoch tells which is newer.
#[test]
fn announcements_follow_redirects_and_each_switch_increases_the_epoch() {
    let (first, first_address) = node();
    let (second, second_address) = node();
    let engine = StandinEngine::start(EngineSettings {
        announce_to: vec![first_address.clone()],
        ..EngineSettings::default()
    })
    .unwrap();
    assert_eq!(receive_announcement(&first, &first_address).home_epoch, 1);
    assert_eq!(receive_announcement(&first, &second_address).home_epoch, 1);
    let after_switch = receive_announcement(&second, &second_address);
    assert_eq!((after_switch.home_epoch, after_switch.sequence), (2, 3));
    assert_eq!(receive_announcement(&second, &first_address).home_epoch, 2);
    engine.announce_leaving();
    let after_return = receive_announcement(&first, &first_address);
    assert_eq!((after_return.home_epoch, after_return.leaving), (3, true));
    engine.stop();
}

/// Guards against outdated orders of a deposed leader that an engine with fencing accepts. An
/// engine without fencing accepts them, and the fleet must prevent them by waiting.
#[test]
fn engines_with_fencing_refuse_outdated_orders() {
    let settings = EngineSettings {
        model_load_time: Duration::ZERO,
        ..EngineSettings::default()
    };
    let engine = StandinEngine::start(settings).unwrap();
    assert_eq!(order(&engine, 7, "v2"), 200);
    assert_eq!(order(&engine, 6, "v3"), 409);
    assert_eq!(order(&engine, 7, "v2"), 200);
    assert_eq!(engine.offers().len(), 2);
    engine.set_faults(FaultPlan {
        ignore_fencing: true,
        ..FaultPlan::default()
    });
    assert_eq!(order(&engine, 6, "v3"), 200);
    engine.stop();
}

/// Guards against a prefix cache that never evicts, and against lost cache events that leave no
/// gap in the sequence numbers, so that the fleet could not notice the loss.
#[test]
fn the_prefix_cache_is_limited_and_its_events_have_gaps() {
    let (node, address) = node();
    let engine = StandinEngine::start(EngineSettings {
        announce_to: vec![address.clone()],
        cache_blocks: 8,
        event_loss_interval: 5,
        ..EngineSettings::default()
    })
    .unwrap();
    let cached_tokens = |text: &str| {
        let response = send_chat(&engine, &chat(text));
        response["usage"]["prompt_tokens_details"]["cached_tokens"]
            .as_u64()
            .unwrap()
    };
    assert_eq!(cached_tokens("ab cd ef "), 0);
    assert!(cached_tokens("ab cd ef ") > 500, "the prefix is not cached");
    for text in ["gh ij kl ", "mn op qr "] {
        assert_eq!(cached_tokens(text), 0);
    }
    assert_eq!(
        cached_tokens("ab cd ef "),
        0,
        "the oldest prefix was not evicted"
    );
    let mut seen: Vec<u64> = Vec::new();
    let start = Instant::now();
    while seen.len() < 12 {
        assert!(start.elapsed() < TIMEOUT, "{seen:?}");
        let wire = receive_announcement(&node, &address);
        seen.extend(wire.cache_events.iter().map(|event| event.sequence));
    }
    assert!(seen.windows(2).all(|pair| pair[0] < pair[1]), "{seen:?}");
    assert!(!seen.contains(&5) && seen.contains(&6), "{seen:?}");
    let stopper = thread::spawn(move || engine.stop());
    assert_eq!(stopper.join().unwrap().len(), 5);
}

/// Sends a chat with a priority from a new thread, which appends the priority to `order` once the
/// response arrives.
fn spawn_chat(
    engine: &Arc<StandinEngine>,
    order: &Arc<Mutex<Vec<u8>>>,
    priority: u8,
) -> JoinHandle<()> {
    let (engine, order) = (Arc::clone(engine), Arc::clone(order));
    thread::spawn(move || {
        let url = format!("http://{}/v1/chat/completions", engine.address());
        let body = serde_json::to_string(&chat("x")).unwrap();
        let request = minreq::post(url).with_header("x-priority", priority.to_string());
        assert_eq!(request.with_body(body).send().unwrap().status_code, 200);
        order.lock().unwrap().push(priority);
    })
}

/// Guards against a full batch that serves requests by arrival alone: of the queued requests, the
/// one with the highest priority must run first, although it arrived last.
#[test]
fn a_full_batch_serves_requests_by_priority() {
    let engine = Arc::new(
        StandinEngine::start(EngineSettings {
            capacity: 1,
            token_gap: Duration::from_millis(200),
            ..EngineSettings::default()
        })
        .unwrap(),
    );
    let order = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for (queued, priority) in [9, 5, 5, 1].into_iter().enumerate() {
        threads.push(spawn_chat(&engine, &order, priority));
        let start = Instant::now();
        let queued = queued as u32;
        while engine.load().running != 1 || engine.load().queued != queued {
            assert!(start.elapsed() < TIMEOUT, "{:?}", engine.load());
            thread::sleep(Duration::from_millis(1));
        }
    }
    for thread in threads {
        thread.join().unwrap();
    }
    assert_eq!(*order.lock().unwrap(), [9, 1, 5, 5]);
    let engine = Arc::into_inner(engine).unwrap();
    engine.stop();
}

/// Guards against exported prefixes that don't match after import: an engine leaves, and the one
/// that takes over its chats imports its prefix cache.
#[test]
fn an_exported_cache_can_be_imported_by_another_engine() {
    let engine = || StandinEngine::start(EngineSettings::default()).unwrap();
    let (old, new) = (engine(), engine());
    send_chat(&old, &chat("ab cd ef "));
    let url = |engine: &StandinEngine| format!("http://{}/v1/cache", engine.address());
    let exported = minreq::get(url(&old)).send().unwrap();
    let imported = minreq::post(url(&new))
        .with_body(exported.as_bytes())
        .send();
    assert_eq!(imported.unwrap().status_code, 200);
    let usage = send_chat(&new, &chat("ab cd ef "))["usage"].clone();
    assert!(
        usage["prompt_tokens_details"]["cached_tokens"]
            .as_u64()
            .unwrap()
            > 500
    );
    old.stop();
    new.stop();
}
