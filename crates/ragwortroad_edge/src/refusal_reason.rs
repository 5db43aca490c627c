use hyper::StatusCode;

/// Why an edge answers a request by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalReason {
    /// No configuration is known here yet.
    Starting,
    /// No route leads anywhere.
    NoRoute,
    /// The key is unknown.
    UnknownKey,
    /// The request names no identity.
    NoIdentity,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not come in time.
    SlowBody,
    /// The body ended before its end.
    CutBody,
    /// No endpoint of the service takes work.
    NoEndpoint,
    /// The endpoints carry all that they can.
    Overload,
    /// The endpoints refused the request.
    NotRun,
    /// An endpoint may have run the request, and no answer came of it.
    Unknown,
    /// The time is over.
    TimedOut,
    /// This edge stops before an answer could be whole.
    Stopping,
}

impl RefusalReason {
    /// The status that tells a caller whether the request has run.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoIdentity | Self::CutBody => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::Starting | Self::NoEndpoint | Self::Overload | Self::NotRun | Self::Stopping => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Its name in metrics.
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
            Self::Overload => "overload",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::TimedOut => "timed_out",
            Self::Stopping => "stopping",
        }
    }

    /// What callers are told.
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
            Self::Overload => "too many requests at once; come back after the time given",
            Self::NotRun => "the endpoints are full; come back after the time given",
            Self::Unknown => "an endpoint failed; whether the request ran is not known",
            Self::Stopping => "this address is about to close; use another one",
            Self::TimedOut => "the time is over; whether the request ran is not known",
        }
    }
}
