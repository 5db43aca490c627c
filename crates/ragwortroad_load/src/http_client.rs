use std::{
    io::Read,
    time::{
        Duration,
        Instant, //
    }, //
};

use minreq::{
    Method,
    Request,
    ResponseLazy, //
};
use ragwortroad_types::prelude::*;
use serde::Deserialize;

use crate::{
    ClientOutcome,
    ResponseCheck,
    ResponseFault,
    address_cache::AddressCache,
    client_request::{
        ClientRequest, //
        ClientResponse,
    },
    event_reader::{
        EventReader,
        StreamEvent,
        TokenUsage, //
    },
    latency_set::{
        LatencySet,
        record, //
    }, //
};

/// A whole chat answer.
#[derive(Deserialize)]
struct ChatCompletion {
    id: String,
    choices: Vec<CompletionChoice>,
    #[serde(default)]
    usage: TokenUsage,
}

/// The choice of a whole answer.
#[derive(Deserialize)]
struct CompletionChoice {
    message: CompletionMessage,
}

/// The message of a whole answer.
#[derive(Deserialize)]
struct CompletionMessage {
    content: String,
}

/// Sends one request to one node and reads the answer's head.
fn open_response(
    address: &str,
    request: &ClientRequest<'_>,
) -> Result<(ClientResponse, ResponseLazy), Box<ClientResponse>> {
    let url = format!("http://{address}{}", request.path);
    let seconds = request.deadline.as_secs().max(1) + 2;
    let deadline = request.deadline.as_millis().to_string();
    let mut sent = Request::new(request.method.clone(), url)
        .with_header("authorization", format!("Bearer {}", request.key))
        .with_header("content-type", "application/json")
        .with_header("x-deadline-ms", deadline)
        .with_follow_redirects(false)
        .with_timeout(seconds)
        .with_body(request.body.as_str());
    let headers = [
        ("idempotency-key", request.idempotency_key),
        ("x-chat-id", request.chat),
        ("x-placement-hint", request.hint.as_deref()),
    ];
    for (name, value) in headers {
        if let Some(value) = value {
            sent = sent.with_header(name, value);
        }
    }
    let mut answer = ClientResponse::unreachable(address);
    match sent.send_lazy() {
        Ok(response) => {
            answer.attempt.status = Some(response.status_code);
            answer.attempt.request_id = header(&response, "x-request-id");
            answer.hint = header(&response, "x-placement-hint");
            answer.next_node = header(&response, "x-next-node");
            Ok((answer, response))
        }
        Err(error) => {
            let kind = match &error {
                minreq::Error::IoError(error) => Some(error.kind()),
                _ => None,
            };
            if kind != Some(std::io::ErrorKind::ConnectionRefused) {
                answer.end = ClientOutcome::Broken(error.to_string());
            }
            Err(Box::new(answer))
        }
    }
}

fn header(response: &ResponseLazy, name: &str) -> Option<String> {
    let found = response
        .headers
        .iter()
        .find(|(field, _)| field.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.clone())
}

/// Reads a body and counts its bytes: the library ends a short body without an error.
fn read_full_body(response: &mut ResponseLazy) -> Result<Vec<u8>, String> {
    let promised = header(response, "content-length").and_then(|text| text.parse::<usize>().ok());
    let mut body = Vec::new();
    response
        .read_to_end(&mut body)
        .map_err(|error| error.to_string())?;
    match promised {
        Some(length) if length != body.len() => {
            Err(format!("{} of {length} bytes came", body.len()))
        }
        _ => Ok(body),
    }
}

/// Sends a request whose answer is whole, and reads it as far as its kind allows.
pub(crate) fn send_buffered(address: &str, request: &ClientRequest<'_>) -> ClientResponse {
    let (mut answer, mut response) = match open_response(address, request) {
        Ok(begun) => begun,
        Err(answer) => return *answer,
    };
    match read_full_body(&mut response) {
        Ok(body) => answer.body = body,
        Err(why) => {
            answer.end = ClientOutcome::Broken(why);
            return answer;
        }
    }
    if response.status_code < 300 {
        answer.end = ClientOutcome::Answered;
        return answer;
    }
    match serde_json::from_slice(&answer.body) {
        Ok(refusal) => answer.record_refusal(refusal),
        Err(_) => answer.end = ClientOutcome::Broken(format!("status {}", response.status_code)),
    }
    answer
}

/// Sends a chat whose answer is whole, and checks it.
pub(crate) fn send_chat(
    address: &str,
    request: &ClientRequest<'_>,
    check: Option<&ResponseCheck>,
) -> ClientResponse {
    let mut answer = send_buffered(address, request);
    if answer.end != ClientOutcome::Answered {
        return answer;
    }
    let Ok(whole) = serde_json::from_slice::<ChatCompletion>(&answer.body) else {
        answer.end = ClientOutcome::Wrong(ResponseFault::Unreadable);
        return answer;
    };
    answer.usage = whole.usage;
    if let Some(check) = check {
        let text: String = whole
            .choices
            .iter()
            .map(|choice| choice.message.content.as_str())
            .collect();
        let owner = answer.attempt.request_id.as_deref().unwrap_or_default();
        let checked = ResponseCheck::check_owner(&whole.id, owner);
        if let Err(fault) = checked.and_then(|()| check.check_text(&text)) {
            answer.end = ClientOutcome::Wrong(fault);
        }
    }
    answer
}

/// Sends a chat whose answer is streamed, reads it token by token, and checks it.
pub(crate) fn send_chat_stream(
    address: &str,
    request: &ClientRequest<'_>,
    check: Option<&ResponseCheck>,
    latencies: &mut LatencySet,
) -> ClientResponse {
    let (mut answer, mut response) = match open_response(address, request) {
        Ok(begun) => begun,
        Err(answer) => return *answer,
    };
    if response.status_code != 200 {
        match read_full_body(&mut response).map(|body| serde_json::from_slice(&body)) {
            Ok(Ok(refusal)) => answer.record_refusal(refusal),
            _ => answer.end = ClientOutcome::Broken(format!("status {}", response.status_code)),
        }
        return answer;
    }
    let owner = answer.attempt.request_id.clone().unwrap_or_default();
    let mut reader = EventReader::new(response);
    let mut text = String::new();
    let mut last = None;
    loop {
        match reader.next_event() {
            StreamEvent::Chunk(chunk) => {
                if let Err(fault) = ResponseCheck::check_owner(&chunk.id, &owner)
                    && check.is_some()
                {
                    answer.end = ClientOutcome::Wrong(fault);
                    return answer;
                }
                answer.usage = chunk.usage.unwrap_or(answer.usage);
                let Some(content) = chunk.content() else {
                    continue;
                };
                let now = Instant::now();
                answer.first_token.get_or_insert(now);
                if let Some(last) = last.replace(now) {
                    record(&mut latencies.token_gap, now - last);
                }
                text.push_str(content);
            }
            StreamEvent::Done => break,
            StreamEvent::Refusal(refusal) => {
                answer.record_refusal(refusal);
                return answer;
            }
            StreamEvent::Broken(why) => {
                answer.end = ClientOutcome::Broken(why);
                return answer;
            }
        }
    }
    answer.end = match check.map(|check| check.check_text(&text)) {
        Some(Err(fault)) => ClientOutcome::Wrong(fault),
        _ => ClientOutcome::Answered,
    };
    answer
}

/// The addresses to use for a chat, or for a customer's other calls: kept ones, else asked for.
pub(crate) fn find_addresses(
    book: &AddressCache,
    name: &str,
    key: &str,
    chat: Option<&str>,
) -> Vec<String> {
    if let Some(kept) = book.get(name) {
        return kept;
    }
    let path = match chat {
        Some(chat) => format!("/v1/addresses?chat={chat}"),
        None => "/v1/addresses".to_owned(),
    };
    for seed in book.seeds() {
        let request = ClientRequest {
            method: Method::Get,
            path: path.clone(),
            body: String::new(),
            key,
            idempotency_key: None,
            chat: None,
            hint: None,
            deadline: Duration::from_secs(2),
        };
        let answer = send_buffered(&seed, &request);
        let found = serde_json::from_slice::<AddressAnswer>(&answer.body);
        if let (ClientOutcome::Answered, Ok(found)) = (&answer.end, found) {
            book.insert(name, &found);
            return found.addresses;
        }
    }
    book.seeds()
}
