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
        ClientRequest,
        ClientResponse, //
    },
    load_state::LoadState, //
};

/// Upper limit on the retry delay that a refusal requests.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1000);

/// Delay before the next attempt if no refusal requested one.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(30);

impl LoadState {
    /// Sends a request until its outcome is final or its attempts or its deadline are used up,
    /// moving on to the addresses that refusals name.
    pub(crate) fn send_with_retries(
        &self,
        kind: CallKind,
        customer: &CustomerLoad,
        due: Instant,
        (cache_name, mut addresses): (&str, Vec<String>),
        request: &ClientRequest<'_>,
        mut send: impl FnMut(&str) -> ClientResponse,
    ) -> (CallRecord, ClientResponse) {
        let mut attempts = Vec::new();
        let response = loop {
            if addresses.is_empty() {
                addresses = self.address_cache.seeds();
            }
            let address = match addresses.is_empty() {
                true => String::new(),
                false => addresses.remove(0),
            };
            let response = send(&address);
            attempts.push(response.attempt.clone());
            let is_exhausted = attempts.len() as u32 >= self.settings.max_attempts
                || due.elapsed() >= self.settings.deadline;
            if is_exhausted || is_final(&response.end) {
                break response;
            }
            self.address_cache.remove(cache_name);
            if let Some(refusal) = &response.refusal {
                let named = refusal.error.addresses.iter();
                let others: Vec<String> =
                    named.filter(|other| **other != address).cloned().collect();
                if !others.is_empty() {
                    addresses = others;
                }
            }
            thread::sleep(retry_delay(&response));
        };
        let record = CallRecord {
            kind,
            customer: customer.name.clone(),
            key: request.idempotency_key.map(str::to_owned),
            attempts,
            end: response.end.clone(),
            first_token_us: response.first_token.map(|at| micros(at - due)),
            total_us: micros(due.elapsed()),
            cached_tokens: response.usage.cached_tokens(),
            prompt_tokens: response.usage.prompt_tokens,
            answer_hash: None,
        };
        (record, response)
    }
}

/// Whether a retry can't change the outcome. Retries are always safe here: reads and chats have
/// no side effects, and bookings carry an idempotency key.
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

fn retry_delay(response: &ClientResponse) -> Duration {
    let requested_ms = response
        .refusal
        .as_ref()
        .and_then(|refusal| refusal.error.retry_after_ms);
    requested_ms
        .map_or(DEFAULT_RETRY_DELAY, Duration::from_millis)
        .min(MAX_RETRY_DELAY)
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
