use std::time::Duration;

use data_encoding::HEXLOWER;
use hyper::{
    HeaderMap,
    header::AUTHORIZATION, //
};
use ragwortroad_types::prelude::*;
use sha2::{
    Digest,
    Sha256, //
};
use tokio::time::Instant;

use crate::{
    GatewaySettings,
    header_names::PLACEMENT_HINT_HEADER, //
};

/// Carries the time that the client allows for the request, in milliseconds.
pub(crate) const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Carries the chat that a request continues.
pub(crate) const CHAT_ID_HEADER: &str = "x-chat-id";

/// Carries the idempotency key of the client.
pub(crate) const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// The identity, credentials, deadline and headers of a request, without its body.
#[derive(Clone, Debug)]
pub(crate) struct RequestContext {
    pub(crate) request: RequestId,
    /// SHA-256 of the bearer key; `None` if the request carries none.
    pub(crate) key_hash: Option<[u8; 32]>,
    pub(crate) deadline: Instant,
    pub(crate) chat: Option<String>,
    pub(crate) hint: Option<String>,
    pub(crate) idempotency_key: Option<String>,
}

impl RequestContext {
    pub(crate) fn new(request: RequestId, headers: &HeaderMap, settings: &GatewaySettings) -> Self {
        let header_text = |name: &str| {
            let value = headers.get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        let requested = header_text(DEADLINE_HEADER).and_then(|value| value.parse().ok());
        let granted = requested.map_or(settings.default_deadline, Duration::from_millis);
        Self {
            request,
            key_hash: bearer_hash(headers),
            deadline: Instant::now() + granted.min(settings.max_deadline),
            chat: header_text(CHAT_ID_HEADER),
            hint: header_text(PLACEMENT_HINT_HEADER),
            idempotency_key: header_text(IDEMPOTENCY_KEY_HEADER),
        }
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the hash of the key, or the refusal for a request without one.
    pub(crate) fn require_key(&self) -> Result<[u8; 32], RefusalWire> {
        self.key_hash
            .ok_or_else(|| self.not_run(RefusalCode::WrongKey, "no key was sent"))
    }

    /// Builds a refusal for a request of which no byte can have reached an endpoint.
    pub(crate) fn not_run(&self, code: RefusalCode, message: impl Into<String>) -> RefusalWire {
        RefusalWire::new(RequestOutcome::NotRun, code, message, self.request)
    }

    /// Builds a refusal for a request that may have run.
    pub(crate) fn unknown(&self, code: RefusalCode, message: impl Into<String>) -> RefusalWire {
        RefusalWire::new(RequestOutcome::Unknown, code, message, self.request)
    }
}

/// SHA-256 of the key in `Authorization: Bearer KEY`; the key itself is not stored.
fn bearer_hash(headers: &HeaderMap) -> Option<[u8; 32]> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return None;
    }
    Some(Sha256::digest(key.trim().as_bytes()).into())
}

/// SHA-256 of method, path and body; tells a repeated request from a reused idempotency key.
pub(crate) fn hash_request(method: &str, path: &str, body: &[u8]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes()] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.update(body);
    hasher.finalize().into()
}

/// The first four bytes of a key's hash in hexadecimal, for the log; too short to help in guessing
/// the key.
pub(crate) fn short_hash(hash: &[u8; 32]) -> String {
    HEXLOWER.encode(&hash[..4])
}
