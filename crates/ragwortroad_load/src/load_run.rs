use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use flume::Receiver;
use minreq::Method;
use ragwortroad_types::prelude::*;
use snafu::ResultExt;

use crate::{
    AnswerCheck, CallEnd, CallKind, CallNote, CustomerLoad, LoadError, LoadSettings, RunReport,
    address_book::AddressBook,
    arrival_plan::{
        PlannedAction,
        PlannedArrival,
        plan_arrivals, //
    },
    caller_client::{
        CallerAnswer,
        CallerRequest,
        call_chat,
        call_stream,
        call_whole,
        find_addresses, //
    },
    chat_script::{
        chat_name,
        chat_turn, //
    },
    latency_set::{
        LatencySet,
        record, //
    },
    load_error::ThreadsSnafu,
};

/// Stack of a caller's thread: many of them wait at once.
const CALLER_STACK: usize = 256 << 10;

/// Longest wait that a refusal can impose.
const LONGEST_WAIT: Duration = Duration::from_millis(1000);

/// Wait before the next sending where no refusal named one.
const SHORT_WAIT: Duration = Duration::from_millis(30);

/// What all callers share.
struct LoadState {
    settings: LoadSettings,
    book: AddressBook,
    /// The placement hint of each chat's last answer.
    hints: Mutex<HashMap<String, String>>,
    start: Instant,
}

/// One caller's results.
struct CallerResult {
    notes: Vec<CallNote>,
    latencies: LatencySet,
}

/// Sends the load, each request when it is due, and waits for every answer.
///
/// A request that is due when every caller is busy waits, and its wait counts into its latency.
pub fn run_load(settings: LoadSettings) -> Result<RunReport, LoadError> {
    let arrivals = plan_arrivals(&settings);
    let start = Instant::now();
    let callers = settings.callers.clamp(1, arrivals.len().max(1));
    let state = Arc::new(LoadState {
        book: AddressBook::new(settings.nodes.clone()),
        hints: Mutex::default(),
        settings,
        start,
    });
    let (sender, queue) = flume::unbounded();
    let mut threads = Vec::with_capacity(callers);
    for _ in 0..callers {
        let state = Arc::clone(&state);
        let queue = queue.clone();
        let builder = thread::Builder::new()
            .name("caller".to_owned())
            .stack_size(CALLER_STACK);
        let thread = builder.spawn(move || serve_arrivals(&state, &queue));
        threads.push(thread.context(ThreadsSnafu)?);
    }
    drop(queue);
    for arrival in arrivals {
        thread::sleep((start + arrival.at).saturating_duration_since(Instant::now()));
        if sender.send(arrival).is_err() {
            break;
        }
    }
    drop(sender);
    let mut latencies = LatencySet::new()?;
    let mut notes = Vec::new();
    for thread in threads {
        let result = thread.join().map_err(|_| LoadError::CallerPanicked)??;
        latencies.add(&result.latencies);
        notes.extend(result.notes);
    }
    let seed = state.settings.seed;
    Ok(RunReport::new(seed, start.elapsed(), notes, &latencies))
}

fn serve_arrivals(
    state: &LoadState,
    queue: &Receiver<PlannedArrival>,
) -> Result<CallerResult, LoadError> {
    let mut result = CallerResult {
        notes: Vec::new(),
        latencies: LatencySet::new()?,
    };
    while let Ok(arrival) = queue.recv() {
        let note = state.serve(arrival, &mut result.latencies);
        result.notes.push(note);
    }
    Ok(result)
}

impl LoadState {
    fn serve(&self, arrival: PlannedArrival, latencies: &mut LatencySet) -> CallNote {
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

    /// Sends a request until it is answered, going from address to address as refusals say.
    fn send(
        &self,
        kind: CallKind,
        customer: &CustomerLoad,
        due: Instant,
        (book_name, mut addresses): (&str, Vec<String>),
        request: &CallerRequest<'_>,
        mut call: impl FnMut(&str) -> CallerAnswer,
    ) -> (CallNote, CallerAnswer) {
        let mut attempts = Vec::new();
        let answer = loop {
            if addresses.is_empty() {
                addresses = self.book.seeds();
            }
            let address = match addresses.is_empty() {
                true => String::new(),
                false => addresses.remove(0),
            };
            let answer = call(&address);
            attempts.push(answer.note.clone());
            let over = attempts.len() as u32 >= self.settings.attempts
                || due.elapsed() >= self.settings.deadline;
            if over || is_final(&answer.end) {
                break answer;
            }
            self.book.forget(book_name);
            if let Some(refusal) = &answer.refusal {
                let named = refusal.error.addresses.iter();
                let others: Vec<String> =
                    named.filter(|other| **other != address).cloned().collect();
                if !others.is_empty() {
                    addresses = others;
                }
            }
            thread::sleep(wait_of(&answer));
        };
        let note = CallNote {
            kind,
            customer: customer.name.clone(),
            key: request.idempotency_key.map(str::to_owned),
            attempts,
            end: answer.end.clone(),
            first_token_us: answer.first_token.map(|at| micros(at - due)),
            total_us: micros(due.elapsed()),
            cached_tokens: answer.usage.cached_tokens(),
            prompt_tokens: answer.usage.prompt_tokens,
            answer_hash: None,
        };
        (note, answer)
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

/// Whether sending again is of no use. Every call here may be sent again: reads and chats change
/// nothing, and bookings carry their key.
fn is_final(end: &CallEnd) -> bool {
    match end {
        CallEnd::Answered | CallEnd::Wrong(_) => true,
        CallEnd::Broken(_) | CallEnd::Unreachable => false,
        CallEnd::Refused(_, code) => matches!(
            code,
            RefusalCode::MalformedRequest
                | RefusalCode::TooLarge
                | RefusalCode::WrongKey
                | RefusalCode::UnknownPath
                | RefusalCode::UnknownModel
                | RefusalCode::UnknownService
                | RefusalCode::KeyReused
                | RefusalCode::KeyExpired
                | RefusalCode::DeadlinePassed
        ),
    }
}

fn wait_of(answer: &CallerAnswer) -> Duration {
    let named = answer
        .refusal
        .as_ref()
        .and_then(|refusal| refusal.error.retry_after_ms);
    named
        .map_or(SHORT_WAIT, Duration::from_millis)
        .min(LONGEST_WAIT)
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
