use std::time::{
    Duration,
    Instant, //
};

use ragwortroad_demo::prelude::*;
use ragwortroad_load::prelude::*;
use ragwortroad_types::prelude::*;
use serde_json::Value;

/// A customer's client, which sends single requests and records the results.
#[derive(Clone, Debug)]
pub(crate) struct TestClient {
    pub(crate) customer: String,
    pub(crate) service: String,
    /// Deadline of each request.
    pub(crate) patience: Duration,
}

/// One request without retries, and its result.
#[derive(Clone, Debug)]
pub(crate) struct TestCall {
    pub(crate) record: CallRecord,
    pub(crate) called: Instant,
    pub(crate) answered: Instant,
    /// The run that produced the response; `None` without a successful service response.
    pub(crate) run: Option<RunId>,
    /// Time after which a refused client may retry; `None` if the refusal doesn't say.
    pub(crate) retry_delay: Option<Duration>,
}

/// An endpoint's name and the index of a run in its records.
pub(crate) type RunId = (String, u64);

impl TestClient {
    pub(crate) fn new(plan: &FleetPlan, number: usize) -> Self {
        Self {
            customer: plan.customers[number].clone(),
            service: plan.service.clone(),
            patience: Duration::from_secs(20),
        }
    }

    /// Sends a booking under an idempotency key through the node at `address`.
    pub(crate) fn book(&self, address: &str, key: &str) -> TestCall {
        let body = format!("{{\"slot\":\"{key}\"}}");
        self.call(address, minreq::Method::Post, Some(key), body)
    }

    /// Sends a read, which is safe to repeat, through the node at `address`.
    pub(crate) fn read(&self, address: &str) -> TestCall {
        self.call(address, minreq::Method::Get, None, String::new())
    }

    /// Sends a chat with one message, not streamed, and checks the response.
    pub(crate) fn chat(&self, address: &str, model: &str, text: &str, tokens: u32) -> TestCall {
        let body = ChatBody {
            model: model.to_owned(),
            messages: vec![ChatMessage::text("user", text)],
            max_tokens: Some(tokens),
            ..ChatBody::default()
        };
        let check = ResponseCheck::new(&body);
        let body = serde_json::to_string(&body).unwrap();
        let url = format!("http://{address}/v1/chat/completions");
        self.send(minreq::post(url).with_body(body), None, |response| {
            let response: Value = serde_json::from_slice(response).unwrap_or_default();
            let content = response.pointer("/choices/0/message/content");
            let content = content.and_then(Value::as_str).unwrap_or_default();
            match check.check_text(content) {
                Ok(()) => ClientOutcome::Answered,
                Err(fault) => ClientOutcome::Wrong(fault),
            }
        })
    }

    /// Repeats a booking until it is answered; panics with the last result on a timeout.
    pub(crate) fn book_until_success(&self, address: &str, key: &str) -> TestCall {
        let mut last = None;
        wait_until("the response to a booking", || {
            let call = self.book(address, key);
            let is_answered = call.record.end == ClientOutcome::Answered;
            last = Some(call);
            is_answered
        })
        .unwrap_or_else(|error| panic!("{error}: {last:?}"));
        last.unwrap()
    }

    fn call(
        &self,
        address: &str,
        method: minreq::Method,
        key: Option<&str>,
        body: String,
    ) -> TestCall {
        let url = format!("http://{address}/v1/services/{}/bookings", self.service);
        let request = minreq::Request::new(method, url).with_body(body);
        self.send(request, key, |response| check_booking(response, key))
    }

    /// Sends a request and records the result; `check_body` determines the outcome of a 2xx
    /// response.
    fn send(
        &self,
        request: minreq::Request,
        key: Option<&str>,
        check_body: impl Fn(&[u8]) -> ClientOutcome,
    ) -> TestCall {
        let kind = key.map_or(CallKind::Read, |_| CallKind::Booking);
        let bearer = format!("Bearer {}", FleetPlan::key_of(&self.customer));
        let deadline = self.patience.as_millis().to_string();
        let mut request = request
            .with_header("authorization", bearer)
            .with_header("content-type", "application/json")
            .with_header("x-deadline-ms", deadline)
            .with_timeout(self.patience.as_secs() + 2);
        if let Some(key) = key {
            request = request.with_header("idempotency-key", key);
        }
        let called = Instant::now();
        let response = request.send();
        let answered = Instant::now();
        let mut attempt = AttemptRecord {
            address: String::new(),
            request_id: None,
            status: None,
            outcome: None,
            code: None,
        };
        let mut run = None;
        let mut retry_delay = None;
        let mut answer_hash = None;
        let end = match response {
            Err(error) => ClientOutcome::Broken(error.to_string()),
            // `minreq` invents a status if the connection closes without a byte.
            Ok(response) if response.headers.is_empty() => {
                ClientOutcome::Broken("no response".to_owned())
            }
            Ok(response) => {
                let mut headers = response.headers.iter();
                let id = headers.find(|(name, _)| name.eq_ignore_ascii_case("x-request-id"));
                attempt.request_id = id.map(|(_, id)| id.clone());
                attempt.status = Some(response.status_code);
                answer_hash = Some(xxhash_rust::xxh3::xxh3_64(response.as_bytes()));
                match response.status_code {
                    200..=299 => {
                        run = run_id(response.as_bytes());
                        check_body(response.as_bytes())
                    }
                    // Any response other than 2xx must be a machine-readable refusal.
                    _ => match serde_json::from_slice::<RefusalWire>(response.as_bytes()) {
                        Ok(refusal) => {
                            let delay_ms = refusal.error.retry_after_ms;
                            retry_delay = delay_ms.map(Duration::from_millis);
                            attempt.outcome = Some(refusal.error.outcome);
                            attempt.code = Some(refusal.error.code);
                            ClientOutcome::Refused(refusal.error.outcome, refusal.error.code)
                        }
                        Err(_) => ClientOutcome::Wrong(ResponseFault::Unreadable),
                    },
                }
            }
        };
        let record = CallRecord {
            kind,
            customer: self.customer.clone(),
            key: key.map(str::to_owned),
            attempts: vec![attempt],
            end,
            first_token_us: None,
            total_us: (answered - called).as_micros() as u64,
            cached_tokens: 0,
            prompt_tokens: 0,
            answer_hash,
        };
        TestCall {
            record,
            called,
            answered,
            run,
            retry_delay,
        }
    }
}

impl TestCall {
    pub(crate) fn is_answered(&self) -> bool {
        self.record.end == ClientOutcome::Answered
    }

    pub(crate) fn code(&self) -> Option<RefusalCode> {
        self.record.attempts[0].code
    }
}

fn run_id(body: &[u8]) -> Option<RunId> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let endpoint = body.get("endpoint")?.as_str()?.to_owned();
    Some((endpoint, body.get("run")?.as_u64()?))
}

/// Checks that a response belongs to the booking under `key`, or to a read without a key.
fn check_booking(body: &[u8], key: Option<&str>) -> ClientOutcome {
    let body: Option<Value> = serde_json::from_slice(body).ok();
    let echoed_key = body.as_ref().and_then(|body| body.get("idempotency_key"));
    match body.is_some() && echoed_key.and_then(Value::as_str) == key {
        true => ClientOutcome::Answered,
        false => ClientOutcome::Wrong(ResponseFault::Foreign),
    }
}

/// Returns the violations found in these requests and the records of all endpoints.
pub(crate) fn violations(calls: &[TestCall], fleet: &SmallFleet) -> Vec<RunViolation> {
    let notes: Vec<CallRecord> = calls.iter().map(|call| call.record.clone()).collect();
    verify_run(&notes, &fleet.records())
}
