use hyper::StatusCode;

/// Reason why the edge responds to a request itself instead of forwarding a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalReason {
    /// The edge has no configuration yet.
    Starting,
    /// No route matches.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The request has no id.
    NoIdentity,
    /// The body exceeds the size limit.
    TooLarge,
    /// The body did not arrive in time.
    SlowBody,
    /// The connection ended before the body was complete.
    CutBody,
    /// The service has no available endpoint.
    NoEndpoint,
    /// All endpoints of the service want a rest.
    Resting,
    /// The service has reached its concurrency limit.
    Overload,
    /// The endpoints rejected the request without running it.
    NotRun,
    /// An endpoint may have run the request but returned no usable response.
    Unknown,
    /// Endpoints crashed while they ran requests with this content.
    Quarantined,
    /// No endpoint of the software version that began the stream is known, or the version itself
    /// cannot be learned.
    UnknownVersion,
    /// The deadline passed.
    TimedOut,
    /// The edge stops before the response could be complete.
    Stopping,
    /// The edge holds too many bytes of other bodies.
    NoMemory,
}

impl RefusalReason {
    /// Status code, which tells the client whether the request may have run.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoIdentity | Self::CutBody => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::Starting
            | Self::NoEndpoint
            | Self::Resting
            | Self::Overload
            | Self::NotRun
            | Self::UnknownVersion
            | Self::Stopping
            | Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            // The content has run before, so a status that promises that it has not is ruled out.
            Self::Unknown | Self::Quarantined => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Metric label.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::NoIdentity => "no_identity",
            Self::TooLarge => "too_large",
            Self::SlowBody => "slow_body",
            Self::CutBody => "cut_body",
            Self::NoEndpoint => "no_endpoint",
            Self::Resting => "resting",
            Self::Overload => "overload",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Quarantined => "quarantined",
            Self::UnknownVersion => "unknown_version",
            Self::TimedOut => "timed_out",
            Self::Stopping => "stopping",
            Self::NoMemory => "no_memory",
        }
    }

    /// Text of the response body.
    pub(crate) fn message(self) -> &'static str {
        match self {
            Self::Starting => "no configuration yet; try another address",
            Self::NoRoute => "no route for this host and path",
            Self::UnknownKey => "the key is not known; check it with the operator",
            Self::NoIdentity => "the request has no identity; send one with each attempt",
            Self::TooLarge => "the body is larger than the operator allows",
            Self::SlowBody => "the body did not come in time; send it again",
            Self::CutBody => "the body ended early; send it again",
            Self::NoEndpoint => "no endpoint takes work now; come back after the time given",
            Self::Resting => "all endpoints want a rest; come back after the time given",
            Self::Overload => "too many requests at once; come back after the time given",
            Self::NotRun => "the endpoints are full; come back after the time given",
            Self::Unknown => "an endpoint failed; whether the request ran is not known",
            Self::Quarantined => "endpoints crashed under this request; do not send it again",
            Self::UnknownVersion => "no endpoint can go on with this stream; begin it again",
            Self::Stopping => "this address is about to close; use another one",
            Self::NoMemory => "too many large bodies at once; come back after the time given",
            Self::TimedOut => "the time is over; whether the request ran is not known",
        }
    }
}
