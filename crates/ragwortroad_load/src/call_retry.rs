use std::{
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use ragwortroad_types::prelude::*;

use crate::{
    CallKind,
    CallRecord,
    ClientOutcome,
    CustomerLoad,
    client_request::{
        ClientRequest, //
        ClientResponse,
    },
    load_state::LoadState, //
};

/// Longest wait that a refusal can impose.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1000);

/// Wait before the next sending where no refusal named one.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(30);

impl LoadState {
    /// Sends a request until it is answered, going from address to address as refusals say.
    pub(crate) fn send_with_retries(
        &self,
        kind: CallKind,
        customer: &CustomerLoad,
        due: Instant,
        (book_name, mut addresses): (&str, Vec<String>),
        request: &ClientRequest<'_>,
        mut call: impl FnMut(&str) -> ClientResponse,
    ) -> (CallRecord, ClientResponse) {
        let mut attempts = Vec::new();
        let answer = loop {
            if addresses.is_empty() {
                addresses = self.address_cache.seeds();
            }
            let address = match addresses.is_empty() {
                true => String::new(),
                false => addresses.remove(0),
            };
            let answer = call(&address);
            attempts.push(answer.attempt.clone());
            let over = attempts.len() as u32 >= self.settings.max_attempts
                || due.elapsed() >= self.settings.deadline;
            if over || is_final(&answer.end) {
                break answer;
            }
            self.address_cache.remove(book_name);
            if let Some(refusal) = &answer.refusal {
                let named = refusal.error.addresses.iter();
                let others: Vec<String> =
                    named.filter(|other| **other != address).cloned().collect();
                if !others.is_empty() {
                    addresses = others;
                }
            }
            thread::sleep(retry_delay(&answer));
        };
        let note = CallRecord {
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
}

/// Whether sending again is of no use. Every call here may be sent again: reads and chats change
/// nothing, and bookings carry their key.
fn is_final(end: &ClientOutcome) -> bool {
    match end {
        ClientOutcome::Answered | ClientOutcome::Wrong(_) => true,
        ClientOutcome::Broken(_) | ClientOutcome::Unreachable => false,
        ClientOutcome::Refused(_, code) => matches!(
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

fn retry_delay(answer: &ClientResponse) -> Duration {
    let named = answer
        .refusal
        .as_ref()
        .and_then(|refusal| refusal.error.retry_after_ms);
    named
        .map_or(DEFAULT_RETRY_DELAY, Duration::from_millis)
        .min(MAX_RETRY_DELAY)
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
