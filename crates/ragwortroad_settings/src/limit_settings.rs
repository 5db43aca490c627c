use std::time::Duration;

use crate::settings_reader::SettingsReader;

/// `[limits]`: limits of one node on its callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Longest request body, in bytes.
    pub max_body: u64,
    /// Longest request head, in bytes.
    pub max_header: u64,
    /// Most connections at once.
    pub max_connections: u64,
    /// How long a connection may stay open without a request.
    pub idle_timeout: Duration,
    /// How long a request's head may take to arrive.
    pub header_timeout: Duration,
    /// How long a request's body may take to arrive.
    pub body_timeout: Duration,
    /// Deadline of a request that sets none.
    pub default_deadline: Duration,
    /// Longest deadline that a request may set.
    pub max_deadline: Duration,
    /// How long a shutdown waits for requests in flight.
    pub drain_timeout: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_body: 4 << 20,
            max_header: 16 << 10,
            max_connections: 4096,
            idle_timeout: Duration::from_secs(60),
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            default_deadline: Duration::from_secs(120),
            max_deadline: Duration::from_secs(900),
            drain_timeout: Duration::from_secs(900),
        }
    }
}

/// One day in milliseconds, the longest duration of any limit.
const DAY_MS: u64 = 86_400_000;

impl LimitSettings {
    pub(crate) fn read(reader: &mut SettingsReader<'_>) -> Self {
        let default = Self::default();
        let mut span = |key, default| reader.millis("limits", key, default, (1, DAY_MS));
        let spans = Self {
            idle_timeout: span("idle_timeout_ms", default.idle_timeout),
            header_timeout: span("header_timeout_ms", default.header_timeout),
            body_timeout: span("body_timeout_ms", default.body_timeout),
            default_deadline: span("default_deadline_ms", default.default_deadline),
            max_deadline: span("max_deadline_ms", default.max_deadline),
            drain_timeout: span("drain_timeout_ms", default.drain_timeout),
            ..default
        };
        let mut number = |key, default, max| reader.number("limits", key, default, (1, max));
        Self {
            max_body: number("max_body_bytes", spans.max_body, 1 << 30),
            max_header: number("max_header_bytes", spans.max_header, 1 << 20),
            max_connections: number("max_connections", spans.max_connections, 1 << 20),
            ..spans
        }
    }
}
