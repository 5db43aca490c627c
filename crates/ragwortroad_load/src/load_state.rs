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
    AnswerCheck,
    CallEnd,
    CallKind,
    CallNote,
    CustomerLoad,
    LoadSettings,
    address_book::AddressBook,
    arrival_plan::{
        PlannedAction,
        PlannedArrival, //
    },
    caller_client::{
        call_chat,
        call_stream,
        call_whole,
        find_addresses, //
    },
    caller_request::CallerRequest,
    chat_script::{
        chat_name,
        chat_turn, //
    },
    latency_set::{
        LatencySet,
        record, //
    }, //
};

/// What all callers share.
pub(crate) struct LoadState {
    pub(crate) settings: LoadSettings,
    pub(crate) book: AddressBook,
    /// The placement hint of each chat's last answer.
    hints: Mutex<HashMap<String, String>>,
    pub(crate) start: Instant,
}

impl LoadState {
    pub(crate) fn new(settings: LoadSettings, start: Instant) -> Self {
        Self {
            book: AddressBook::new(settings.nodes.clone()),
            hints: Mutex::default(),
            settings,
            start,
        }
    }

    /// Does what is due, and returns what its caller saw.
    pub(crate) fn serve(&self, arrival: PlannedArrival, latencies: &mut LatencySet) -> CallNote {
        let customer = &self.settings.customers[arrival.customer];
        let due = self.start + arrival.at;
        match arrival.action {
            PlannedAction::Turn {
                chat,
                turn,
                streamed,
            } => self.serve_turn(customer, due, (chat, turn, streamed), latencies),
            PlannedAction::Booking { booking } => {
                self.serve_booking(customer, due, CallKind::Booking, booking, latencies)
            }
            PlannedAction::Resend { booking } => {
                self.serve_booking(customer, due, CallKind::Resend, booking, latencies)
            }
            PlannedAction::Read { record } => self.serve_read(customer, due, record, latencies),
        }
    }

    fn serve_turn(
        &self,
        customer: &CustomerLoad,
        due: Instant,
        (chat, turn, streamed): (u64, u32, bool),
        latencies: &mut LatencySet,
    ) -> CallNote {
        let mut body = chat_turn(&self.settings, customer, chat, turn);
        body.stream = streamed;
        let check = self.settings.check_answers.then(|| AnswerCheck::new(&body));
        let name = chat_name(customer, chat);
        let request = CallerRequest {
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
        let call = |address: &str| match streamed {
            true => call_stream(address, &request, check.as_ref(), latencies),
            false => call_chat(address, &request, check.as_ref()),
        };
        let addresses = find_addresses(&self.book, &name, &customer.key, Some(&name));
        let (note, answer) = self.send(kind, customer, due, (&name, addresses), &request, call);
        self.keep_hint(&name, answer.hint);
        if let Some(node) = &answer.next_node {
            self.book.prefer(&name, node);
        }
        let total = Duration::from_micros(note.total_us);
        match (streamed, note.first_token_us) {
            (true, Some(first)) => {
                record(&mut latencies.first_token, Duration::from_micros(first));
            }
            (false, _) if note.end == CallEnd::Answered => {
                record(&mut latencies.whole_chat, total);
            }
            _ => {}
        }
        note
    }

    fn serve_booking(
        &self,
        customer: &CustomerLoad,
        due: Instant,
        kind: CallKind,
        booking: u64,
        latencies: &mut LatencySet,
    ) -> CallNote {
        let key = format!("{}-{}-{booking}", customer.name, self.settings.seed);
        let request = CallerRequest {
            method: Method::Post,
            path: format!("/v1/services/{}/bookings", self.settings.service),
            body: format!("{{\"slot\":{booking},\"studio\":\"{}\"}}", customer.name),
            key: &customer.key,
            idempotency_key: Some(&key),
            chat: None,
            hint: None,
            deadline: self.settings.deadline,
        };
        let mut addresses = find_addresses(&self.book, &customer.name, &customer.key, None);
        if kind == CallKind::Resend && !addresses.is_empty() {
            addresses.rotate_left(1);
        }
        let call = |address: &str| call_whole(address, &request);
        let place = (customer.name.as_str(), addresses);
        let (mut note, answer) = self.send(kind, customer, due, place, &request, call);
        note.answer_hash = Some(xxhash_rust::xxh3::xxh3_64(&answer.body));
        if note.end == CallEnd::Answered {
            record(&mut latencies.service, Duration::from_micros(note.total_us));
        }
        note
    }

    fn serve_read(
        &self,
        customer: &CustomerLoad,
        due: Instant,
        place: u64,
        latencies: &mut LatencySet,
    ) -> CallNote {
        let request = CallerRequest {
            method: Method::Get,
            path: format!("/v1/services/{}/bookings/{place}", self.settings.service),
            body: String::new(),
            key: &customer.key,
            idempotency_key: None,
            chat: None,
            hint: None,
            deadline: self.settings.deadline,
        };
        let addresses = find_addresses(&self.book, &customer.name, &customer.key, None);
        let call = |address: &str| call_whole(address, &request);
        let place = (customer.name.as_str(), addresses);
        let (note, _) = self.send(CallKind::Read, customer, due, place, &request, call);
        if note.end == CallEnd::Answered {
            record(&mut latencies.service, Duration::from_micros(note.total_us));
        }
        note
    }

    fn hint(&self, chat: &str) -> Option<String> {
        let hints = self.hints.lock().unwrap_or_else(PoisonError::into_inner);
        hints.get(chat).cloned()
    }

    fn keep_hint(&self, chat: &str, hint: Option<String>) {
        if let Some(hint) = hint {
            let mut hints = self.hints.lock().unwrap_or_else(PoisonError::into_inner);
            hints.insert(chat.to_owned(), hint);
        }
    }
}
