use std::{
    collections::HashMap,
    sync::{
        Mutex,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use minreq::Method;

use crate::{
    CallKind,
    CallRecord,
    ClientOutcome,
    CustomerLoad,
    LoadSettings,
    ResponseCheck,
    address_cache::AddressCache,
    arrival_plan::{
        PlannedAction,
        PlannedArrival, //
    },
    chat_script::{
        chat_name,
        chat_turn, //
    },
    client_request::ClientRequest,
    http_client::{
        find_addresses,
        send_buffered,
        send_chat,
        send_chat_stream, //
    },
    latency_set::{
        LatencySet,
        record_latency, //
    }, //
};

/// State that all client threads share.
pub(crate) struct LoadState {
    pub(crate) settings: LoadSettings,
    pub(crate) address_cache: AddressCache,
    /// The placement hint from each chat's last response, by chat name.
    hints: Mutex<HashMap<String, String>>,
    pub(crate) start: Instant,
}

impl LoadState {
    pub(crate) fn new(settings: LoadSettings, start: Instant) -> Self {
        Self {
            address_cache: AddressCache::new(settings.nodes.clone()),
            hints: Mutex::default(),
            settings,
            start,
        }
    }

    /// Sends the request of an arrival and returns its record.
    pub(crate) fn execute(
        &self,
        arrival: PlannedArrival,
        latencies: &mut LatencySet,
    ) -> CallRecord {
        let customer = &self.settings.customers[arrival.customer];
        let due = self.start + arrival.at;
        match arrival.action {
            PlannedAction::Turn {
                chat,
                turn,
                streamed,
            } => self.send_turn(customer, due, (chat, turn, streamed), latencies),
            PlannedAction::Booking { booking } => {
                self.send_booking(customer, due, CallKind::Booking, booking, latencies)
            }
            PlannedAction::Resend { booking } => {
                self.send_booking(customer, due, CallKind::Resend, booking, latencies)
            }
            PlannedAction::Read { record } => self.send_read(customer, due, record, latencies),
        }
    }

    fn send_turn(
        &self,
        customer: &CustomerLoad,
        due: Instant,
        (chat, turn, streamed): (u64, u32, bool),
        latencies: &mut LatencySet,
    ) -> CallRecord {
        let mut body = chat_turn(&self.settings, customer, chat, turn);
        body.stream = streamed;
        let check = self
            .settings
            .verify_responses
            .then(|| ResponseCheck::new(&body));
        let name = chat_name(customer, chat);
        let request = ClientRequest {
            method: Method::Post,
            path: "/v1/chat/completions".to_owned(),
            body: serde_json::to_string(&body).unwrap_or_default(),
            key: &customer.key,
            idempotency_key: None,
            chat: Some(&name),
            hint: self.hint(&name),
            deadline: self.settings.deadline,
        };
        let kind = match turn {
            0 => CallKind::FirstTurn,
            _ => CallKind::ReturnTurn,
        };
        let send = |address: &str| match streamed {
            true => send_chat_stream(address, &request, check.as_ref(), latencies),
            false => send_chat(address, &request, check.as_ref()),
        };
        let addresses = find_addresses(&self.address_cache, &name, &customer.key, Some(&name));
        let (record, response) =
            self.send_with_retries(kind, customer, due, (&name, addresses), &request, send);
        self.store_hint(&name, response.hint);
        if let Some(node) = &response.next_node {
            self.address_cache.move_to_front(&name, node);
        }
        let total = Duration::from_micros(record.total_us);
        match (streamed, record.first_token_us) {
            (true, Some(first)) => {
                record_latency(&mut latencies.first_token, Duration::from_micros(first));
            }
            (false, _) if record.end == ClientOutcome::Answered => {
                record_latency(&mut latencies.whole_chat, total);
            }
            _ => {}
        }
        record
    }

    fn send_booking(
        &self,
        customer: &CustomerLoad,
        due: Instant,
        kind: CallKind,
        booking: u64,
        latencies: &mut LatencySet,
    ) -> CallRecord {
        let key = format!("{}-{}-{booking}", customer.name, self.settings.seed);
        let request = ClientRequest {
            method: Method::Post,
            path: format!("/v1/services/{}/bookings", self.settings.service),
            body: format!("{{\"slot\":{booking},\"studio\":\"{}\"}}", customer.name),
            key: &customer.key,
            idempotency_key: Some(&key),
            chat: None,
            hint: None,
            deadline: self.settings.deadline,
        };
        let mut addresses =
            find_addresses(&self.address_cache, &customer.name, &customer.key, None);
        if kind == CallKind::Resend && !addresses.is_empty() {
            addresses.rotate_left(1);
        }
        let send = |address: &str| send_buffered(address, &request);
        let route = (customer.name.as_str(), addresses);
        let (mut record, response) =
            self.send_with_retries(kind, customer, due, route, &request, send);
        record.answer_hash = Some(xxhash_rust::xxh3::xxh3_64(&response.body));
        if record.end == ClientOutcome::Answered {
            record_latency(
                &mut latencies.service,
                Duration::from_micros(record.total_us),
            );
        }
        record
    }

    fn send_read(
        &self,
        customer: &CustomerLoad,
        due: Instant,
        booking: u64,
        latencies: &mut LatencySet,
    ) -> CallRecord {
        let request = ClientRequest {
            method: Method::Get,
            path: format!("/v1/services/{}/bookings/{booking}", self.settings.service),
            body: String::new(),
            key: &customer.key,
            idempotency_key: None,
            chat: None,
            hint: None,
            deadline: self.settings.deadline,
        };
        let addresses = find_addresses(&self.address_cache, &customer.name, &customer.key, None);
        let send = |address: &str| send_buffered(address, &request);
        let route = (customer.name.as_str(), addresses);
        let (record, _) =
            self.send_with_retries(CallKind::Read, customer, due, route, &request, send);
        if record.end == ClientOutcome::Answered {
            record_latency(
                &mut latencies.service,
                Duration::from_micros(record.total_us),
            );
        }
        record
    }

    fn hint(&self, chat: &str) -> Option<String> {
        let hints = self.hints.lock().unwrap_or_else(PoisonError::into_inner);
        hints.get(chat).cloned()
    }

    fn store_hint(&self, chat: &str, hint: Option<String>) {
        if let Some(hint) = hint {
            let mut hints = self.hints.lock().unwrap_or_else(PoisonError::into_inner);
            hints.insert(chat.to_owned(), hint);
        }
    }
}
