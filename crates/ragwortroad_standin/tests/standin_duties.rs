//! What the fleet relies on when it is tested against stand-ins.
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

const BOUND: Duration = Duration::from_secs(20);

fn node() -> (Server, String) {
    let server = Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_ip().unwrap().to_string();
    (server, address)
}

/// Takes one announcement and answers where to announce to from now on.
fn receive_announcement(node: &Server, next: &str) -> AnnounceWire {
    let mut request = node.recv_timeout(BOUND).unwrap().unwrap();
    let wire = serde_json::from_reader(request.as_reader()).unwrap();
    let answer = AnnounceAnswer {
        announce_to: vec![next.to_owned()],
        every_ms: 5,
    };
    let body = serde_json::to_string(&answer).unwrap();
    request.respond(Response::from_string(body)).unwrap();
    wire
}

fn order(engine: &StandinEngine, fence: u64, version: &str) -> u16 {
    let wire = OrderWire {
        fence: FenceNumber(fence),
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
    let answer = minreq::post(url).with_body(body).send().unwrap();
    answer.status_code
}

fn ask(engine: &StandinEngine, chat: &ChatBody) -> serde_json::Value {
    let url = format!("http://{}/v1/chat/completions", engine.address());
    let body = serde_json::to_string(chat).unwrap();
    let sent = minreq::post(url)
        .with_header("x-request-id", "1")
        .with_body(body);
    serde_json::from_slice(sent.send().unwrap().as_bytes()).unwrap()
}

fn chat(text: &str) -> ChatBody {
    ChatBody {
        model: "caption".to_owned(),
        messages: vec![ChatMessage::text("user", &text.repeat(300))],
        max_tokens: Some(4),
        ..ChatBody::default()
    }
}

#[test]
fn announcements_follow_the_answer_and_the_epoch_rises_with_each_switch() {
    // A node tells the endpoint to announce itself to another one. Two nodes then both hold a word
    // of it for a while; the epoch tells which is newer.
    let (first, first_address) = node();
    let (second, second_address) = node();
    let engine = StandinEngine::start(EngineSettings {
        announce_to: vec![first_address.clone()],
        ..EngineSettings::default()
    })
    .unwrap();
    assert_eq!(receive_announcement(&first, &first_address).home_epoch, 1);
    assert_eq!(receive_announcement(&first, &second_address).home_epoch, 1);
    let moved = receive_announcement(&second, &second_address);
    assert_eq!((moved.home_epoch, moved.sequence), (2, 3));
    assert_eq!(receive_announcement(&second, &first_address).home_epoch, 2);
    engine.announce_leaving();
    let back = receive_announcement(&first, &first_address);
    assert_eq!((back.home_epoch, back.leaving), (3, true));
    engine.stop();
}

#[test]
fn old_orders_are_refused_by_engines_that_check() {
    // A deposed leader goes on giving orders. An engine that checks refuses them; one that does
    // not takes them, and the fleet has to see to it by time.
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

#[test]
fn the_prefix_cache_is_limited_and_its_events_have_gaps() {
    // A cache holds what fits. Its events reach the fleet with some missing, and a gap must show
    // in their numbers.
    let (node, address) = node();
    let engine = StandinEngine::start(EngineSettings {
        announce_to: vec![address.clone()],
        cache_blocks: 8,
        event_loss_interval: 5,
        ..EngineSettings::default()
    })
    .unwrap();
    let cached = |text: &str| {
        let answer = ask(&engine, &chat(text));
        answer["usage"]["prompt_tokens_details"]["cached_tokens"]
            .as_u64()
            .unwrap()
    };
    assert_eq!(cached("ab cd ef "), 0);
    assert!(cached("ab cd ef ") > 500, "the prefix is in the cache");
    for text in ["gh ij kl ", "mn op qr "] {
        assert_eq!(cached(text), 0);
    }
    assert_eq!(cached("ab cd ef "), 0, "the oldest prefix had to go");
    let mut seen: Vec<u64> = Vec::new();
    let start = Instant::now();
    while seen.len() < 12 {
        assert!(start.elapsed() < BOUND, "{seen:?}");
        let wire = receive_announcement(&node, &address);
        seen.extend(wire.cache_events.iter().map(|event| event.sequence));
    }
    assert!(seen.windows(2).all(|pair| pair[0] < pair[1]), "{seen:?}");
    assert!(!seen.contains(&5) && seen.contains(&6), "{seen:?}");
    let stopper = thread::spawn(move || engine.stop());
    assert_eq!(stopper.join().unwrap().len(), 5);
}

/// Asks in a thread of its own, with a priority; returns when it was answered, as a place.
fn spawn_chat(
    engine: &Arc<StandinEngine>,
    order: &Arc<Mutex<Vec<u8>>>,
    priority: u8,
) -> JoinHandle<()> {
    let (engine, order) = (Arc::clone(engine), Arc::clone(order));
    thread::spawn(move || {
        let url = format!("http://{}/v1/chat/completions", engine.address());
        let body = serde_json::to_string(&chat("x")).unwrap();
        let asked = minreq::post(url).with_header("x-priority", priority.to_string());
        assert_eq!(asked.with_body(body).send().unwrap().status_code, 200);
        order.lock().unwrap().push(priority);
    })
}

#[test]
fn a_full_batch_takes_the_urgent_first() {
    // An engine has one place, and requests wait for it. The instructor's goes before the nightly
    // drafts that came earlier.
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
    for (waiting, priority) in [9, 5, 5, 1].into_iter().enumerate() {
        threads.push(spawn_chat(&engine, &order, priority));
        let start = Instant::now();
        let queued = waiting as u32;
        while engine.load().running != 1 || engine.load().queued != queued {
            assert!(start.elapsed() < BOUND, "{:?}", engine.load());
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

#[test]
fn a_cache_goes_over_to_another_engine() {
    // An engine leaves, and its prefixes are handed to the one that takes over its chats.
    let engine = || StandinEngine::start(EngineSettings::default()).unwrap();
    let (old, new) = (engine(), engine());
    ask(&old, &chat("ab cd ef "));
    let url = |engine: &StandinEngine| format!("http://{}/v1/cache", engine.address());
    let exported = minreq::get(url(&old)).send().unwrap();
    let imported = minreq::post(url(&new))
        .with_body(exported.as_bytes())
        .send();
    assert_eq!(imported.unwrap().status_code, 200);
    let usage = ask(&new, &chat("ab cd ef "))["usage"].clone();
    assert!(
        usage["prompt_tokens_details"]["cached_tokens"]
            .as_u64()
            .unwrap()
            > 500
    );
    old.stop();
    new.stop();
}
