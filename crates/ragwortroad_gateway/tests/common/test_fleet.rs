use std::{
    net::SocketAddr,
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use ragwortroad_gateway::prelude::*;
use ragwortroad_load::prelude::*;
use ragwortroad_standin::prelude::*;
use ragwortroad_types::prelude::*;

use super::{
    fake_control::{
        ControlLog,
        FakeControl,
        FakeRoutes, //
    },
    raw_client::{
        WAIT_LIMIT,
        exchange,
        post, //
    }, //
};

/// A gateway with two engines, two services and a fake control thread.
pub struct TestFleet {
    pub gateway: GatewayServer,
    pub control: FakeControl,
    pub engines: Vec<StandinEngine>,
    pub services: Vec<StandinService>,
}

impl TestFleet {
    pub fn start(settings: GatewaySettings) -> Self {
        let engine = |name: &str| {
            StandinEngine::start(EngineSettings {
                name: name.to_owned(),
                ..EngineSettings::default()
            })
            .unwrap()
        };
        let service = |name: &str| {
            StandinService::start(ServiceSettings {
                name: name.to_owned(),
                ..ServiceSettings::default()
            })
            .unwrap()
        };
        let engines = vec![engine("engine-1"), engine("engine-2")];
        let services = vec![service("desk-1"), service("desk-2")];
        let routes = FakeRoutes {
            models: engines
                .iter()
                .map(|engine| ("caption".to_owned(), engine.address()))
                .collect(),
            services: services
                .iter()
                .map(|service| ("studio-desk".to_owned(), service.address()))
                .collect(),
            addresses: vec!["192.0.2.7:80".to_owned()],
            ..FakeRoutes::default()
        };
        let (calls, control) = FakeControl::start(routes);
        let gateway = GatewayServer::start(settings, calls, GatewayPages::default()).unwrap();
        Self {
            gateway,
            control,
            engines,
            services,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.gateway.local_address()
    }

    /// Sends a chat as raw bytes and returns the complete response with its head.
    pub fn chat(&self, chat: &ChatBody, headers: &str) -> String {
        let body = serde_json::to_string(chat).unwrap();
        exchange(
            self.address(),
            &post("/v1/chat/completions", headers, &body),
        )
    }

    /// Sends a booking as raw bytes and returns the complete response with its head.
    pub fn book(&self, headers: &str) -> String {
        let path = "/v1/services/studio-desk/bookings?day=3";
        exchange(self.address(), &post(path, headers, "{\"slot\":1}"))
    }

    /// Records of all requests that the endpoints ran.
    pub fn records(&self) -> Vec<RunRecord> {
        let engines = self.engines.iter().flat_map(StandinEngine::records);
        let services = self.services.iter().flat_map(StandinService::records);
        engines.chain(services).collect()
    }

    /// Waits for a condition; panics after the time limit.
    pub fn wait_for(&self, what: &str, mut condition: impl FnMut(&Self) -> bool) {
        let start = Instant::now();
        while !condition(self) {
            assert!(
                start.elapsed() < WAIT_LIMIT,
                "timed out waiting until {what}"
            );
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Joins all threads, and checks that each grant was returned exactly once.
    pub fn stop(self) -> ControlLog {
        self.gateway.join();
        let log = self.control.join();
        let mut given: Vec<TicketId> = log.finishes.iter().map(|finish| finish.ticket).collect();
        given.sort();
        let mut granted = log.granted.clone();
        granted.sort();
        assert_eq!(given, granted, "each grant is returned exactly once");
        for engine in self.engines {
            engine.stop();
        }
        for service in self.services {
            service.stop();
        }
        log
    }
}

pub fn chat_body(stream: bool) -> ChatBody {
    ChatBody {
        model: "caption".to_owned(),
        messages: vec![ChatMessage::text("user", "A linen coat, front and back.")],
        stream,
        max_tokens: Some(12),
        ..ChatBody::default()
    }
}

/// The text of a streamed response in raw bytes, and whether its final marker arrived.
pub fn stream_text(response: &str) -> (String, bool) {
    let mut text = String::new();
    for line in response.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            return (text, true);
        }
        let chunk: serde_json::Value = serde_json::from_str(data).unwrap();
        text += chunk["choices"][0]["delta"]["content"]
            .as_str()
            .unwrap_or("");
    }
    (text, false)
}

/// Whether a streamed response is complete and has the expected text for the chat.
pub fn is_own_response(response: &str, chat: &ChatBody) -> bool {
    let (text, ended) = stream_text(response);
    ended && ResponseCheck::new(chat).check_text(&text).is_ok()
}

/// The refusal in a response in raw bytes.
pub fn refusal_of(response: &str) -> RefusalDetail {
    let start = response
        .find("{\"error\"")
        .unwrap_or_else(|| panic!("no refusal: {response}"));
    let rest = &response[start..];
    let end = rest.rfind('}').unwrap();
    let refusal: RefusalWire = serde_json::from_str(&rest[..=end]).unwrap();
    refusal.error
}
