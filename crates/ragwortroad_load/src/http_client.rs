use std::{
    io::Read,
    time::{
        Duration,
        Instant, //
    }, //
};

use hyper::{
    Response,
    StatusCode,
    header::{
        HeaderName,
        HeaderValue, //
    }, //
};
use minreq::{
    Method,
    Request,
    ResponseLazy, //
};
use ragwortroad_http::prelude::*;
use ragwortroad_types::prelude::*;
use serde::Deserialize;

use crate::{
    ClientOutcome,
    ResponseCheck,
    ResponseFault,
    address_cache::AddressCache,
    client_request::{
        ClientRequest,
        ClientResponse, //
    },
    event_reader::{
        EventReader,
        StreamEvent,
        TokenUsage, //
    },
    latency_set::{
        LatencySet,
        record_latency, //
    }, //
};

/// The body of a chat response that is not streamed.
#[derive(Deserialize)]
struct ChatCompletion {
    id: String,
    choices: Vec<CompletionChoice>,
    #[serde(default)]
    usage: TokenUsage,
}

/// One choice of a chat completion.
#[derive(Deserialize)]
struct CompletionChoice {
    message: CompletionMessage,
}

/// The message of a completion's choice.
#[derive(Deserialize)]
struct CompletionMessage {
    content: String,
}

/// Sends one request to one node and reads the response's status line and headers.
fn open_response(
    address: &str,
    request: &ClientRequest<'_>,
) -> Result<(ClientResponse, ResponseLazy), Box<ClientResponse>> {
    let url = format!("http://{address}{}", request.path);
    let seconds = request.deadline.as_secs().max(1) + 2;
    let deadline = request.deadline.as_millis().to_string();
    let mut outgoing = Request::new(request.method.clone(), url)
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
            outgoing = outgoing.with_header(name, value);
        }
    }
    let mut response = ClientResponse::unreachable(address);
    match outgoing.send_lazy() {
        Ok(reader) => {
            response.attempt.status = Some(reader.status_code);
            if let Err(why) = check_framing(request, &reader) {
                response.end = ClientOutcome::Broken(why);
                return Err(Box::new(response));
            }
            response.attempt.request_id = header(&reader, "x-request-id");
            response.hint = header(&reader, "x-placement-hint");
            response.next_node = header(&reader, "x-next-node");
            Ok((response, reader))
        }
        Err(error) => {
            let kind = match &error {
                minreq::Error::IoError(error) => Some(error.kind()),
                _ => None,
            };
            if kind != Some(std::io::ErrorKind::ConnectionRefused) {
                response.end = ClientOutcome::Broken(error.to_string());
            }
            Err(Box::new(response))
        }
    }
}

fn header(reader: &ResponseLazy, name: &str) -> Option<String> {
    let found = reader
        .headers
        .iter()
        .find(|(field, _)| field.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.clone())
}

/// Checks that the head marks where the body ends, since `minreq` takes any head.
fn check_framing(request: &ClientRequest<'_>, reader: &ResponseLazy) -> Result<(), String> {
    let mut head = Response::new(());
    let status = StatusCode::from_u16(reader.status_code);
    *head.status_mut() = status.map_err(|_| format!("status {}", reader.status_code))?;
    for (name, value) in &reader.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(|error| error.to_string())?;
        let value = HeaderValue::from_str(value).map_err(|error| error.to_string())?;
        head.headers_mut().append(name, value);
    }
    let method = match request.method {
        Method::Head => hyper::Method::HEAD,
        _ => hyper::Method::GET,
    };
    let framing = BodyFraming::of_response(&method, &head).map_err(|error| error.to_string())?;
    match framing.marks_end() {
        true => Ok(()),
        false => Err("the answer does not mark its end".to_owned()),
    }
}

/// Reads a body and compares its length with `Content-Length`, since `minreq` reports no error
/// for a truncated body.
fn read_full_body(reader: &mut ResponseLazy) -> Result<Vec<u8>, String> {
    let content_length =
        header(reader, "content-length").and_then(|text| text.parse::<usize>().ok());
    let mut body = Vec::new();
    reader
        .read_to_end(&mut body)
        .map_err(|error| error.to_string())?;
    match content_length {
        Some(length) if length != body.len() => {
            Err(format!("body ended after {} of {length} bytes", body.len()))
        }
        _ => Ok(body),
    }
}

/// Sends a request and reads its whole body; a non-2xx response must be a refusal.
pub(crate) fn send_buffered(address: &str, request: &ClientRequest<'_>) -> ClientResponse {
    let (mut response, mut reader) = match open_response(address, request) {
        Ok(opened) => opened,
        Err(response) => return *response,
    };
    match read_full_body(&mut reader) {
        Ok(body) => response.body = body,
        Err(why) => {
            response.end = ClientOutcome::Broken(why);
            return response;
        }
    }
    if reader.status_code < 300 {
        response.end = ClientOutcome::Answered;
        return response;
    }
    match serde_json::from_slice(&response.body) {
        Ok(refusal) => response.record_refusal(refusal),
        Err(_) => response.end = ClientOutcome::Broken(format!("status {}", reader.status_code)),
    }
    response
}

/// Sends a chat that is not streamed, and checks the response if there is a check.
pub(crate) fn send_chat(
    address: &str,
    request: &ClientRequest<'_>,
    check: Option<&ResponseCheck>,
) -> ClientResponse {
    let mut response = send_buffered(address, request);
    if response.end != ClientOutcome::Answered {
        return response;
    }
    let Ok(completion) = serde_json::from_slice::<ChatCompletion>(&response.body) else {
        response.end = ClientOutcome::Wrong(ResponseFault::Unreadable);
        return response;
    };
    response.usage = completion.usage;
    if let Some(check) = check {
        let text: String = completion
            .choices
            .iter()
            .map(|choice| choice.message.content.as_str())
            .collect();
        let owner = response.attempt.request_id.as_deref().unwrap_or_default();
        let checked = ResponseCheck::check_owner(&completion.id, owner);
        if let Err(fault) = checked.and_then(|()| check.check_text(&text)) {
            response.end = ClientOutcome::Wrong(fault);
        }
    }
    response
}

/// Sends a streamed chat, reads it token by token, and checks the response if there is a check.
pub(crate) fn send_chat_stream(
    address: &str,
    request: &ClientRequest<'_>,
    check: Option<&ResponseCheck>,
    latencies: &mut LatencySet,
) -> ClientResponse {
    let (mut response, mut reader) = match open_response(address, request) {
        Ok(opened) => opened,
        Err(response) => return *response,
    };
    if reader.status_code != 200 {
        match read_full_body(&mut reader).map(|body| serde_json::from_slice(&body)) {
            Ok(Ok(refusal)) => response.record_refusal(refusal),
            _ => response.end = ClientOutcome::Broken(format!("status {}", reader.status_code)),
        }
        return response;
    }
    let owner = response.attempt.request_id.clone().unwrap_or_default();
    let mut reader = EventReader::new(reader);
    let mut text = String::new();
    let mut last = None;
    loop {
        match reader.next_event() {
            StreamEvent::Chunk(chunk) => {
                if let Err(fault) = ResponseCheck::check_owner(&chunk.id, &owner)
                    && check.is_some()
                {
                    response.end = ClientOutcome::Wrong(fault);
                    return response;
                }
                response.usage = chunk.usage.unwrap_or(response.usage);
                let Some(content) = chunk.content() else {
                    continue;
                };
                let now = Instant::now();
                response.first_token.get_or_insert(now);
                if let Some(last) = last.replace(now) {
                    record_latency(&mut latencies.token_gap, now - last);
                }
                text.push_str(content);
            }
            StreamEvent::Done => break,
            StreamEvent::Refusal(refusal) => {
                response.record_refusal(refusal);
                return response;
            }
            StreamEvent::Broken(why) => {
                response.end = ClientOutcome::Broken(why);
                return response;
            }
        }
    }
    response.end = match check.map(|check| check.check_text(&text)) {
        Some(Err(fault)) => ClientOutcome::Wrong(fault),
        _ => ClientOutcome::Answered,
    };
    response
}

/// Returns the addresses for a chat, or for a customer's service requests: from the cache, else
/// from the first seed that responds, else the seeds themselves.
pub(crate) fn find_addresses(
    cache: &AddressCache,
    name: &str,
    key: &str,
    chat: Option<&str>,
) -> Vec<String> {
    if let Some(addresses) = cache.get(name) {
        return addresses;
    }
    let path = match chat {
        Some(chat) => format!("/v1/addresses?chat={chat}"),
        None => "/v1/addresses".to_owned(),
    };
    for seed in cache.seeds() {
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
        let response = send_buffered(&seed, &request);
        let found = serde_json::from_slice::<AddressResponse>(&response.body);
        if let (ClientOutcome::Answered, Ok(found)) = (&response.end, found) {
            cache.insert(name, &found);
            return found.addresses;
        }
    }
    cache.seeds()
}
