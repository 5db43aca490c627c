use serde::{
    Deserialize,
    Serialize, //
};

/// The stable, machine-readable reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request is not valid HTTP, or its body is not what the path expects.
    MalformedRequest,
    /// The body or the headers exceed the limits in the settings.
    TooLarge,
    /// The key belongs to no customer, operator or endpoint.
    WrongKey,
    /// The node serves no such path.
    UnknownPath,
    /// No model with this name is available to the customer.
    UnknownModel,
    /// No service with this name is available to the customer.
    UnknownService,
    /// No endpoint that could serve the request is available.
    NoEndpoint,
    /// Every endpoint that could serve the request is at its load bound.
    Overloaded,
    /// The customer exceeds its own limit.
    CustomerLimit,
    /// The node is shutting down; the addresses in the refusal take over.
    NodeDraining,
    /// The node cannot confirm that its configuration is current.
    NotCurrent,
    /// The claim of a non-idempotent request could not be made durable.
    ClaimUnavailable,
    /// The idempotency key was used before with a different body.
    KeyReused,
    /// A request with this idempotency key is in progress.
    KeyInProgress,
    /// The idempotency key is older than the time for which keys are remembered.
    KeyExpired,
    /// The endpoint ended its response early, or responded to another request.
    BrokenAnswer,
    /// Endpoints crashed while they ran requests with the same content.
    CrashesEndpoints,
    /// The deadline passed before the request finished.
    DeadlinePassed,
    /// An internal error of this node.
    InternalFault,
}

impl RefusalCode {
    /// Returns the HTTP status code for the reason.
    pub fn status(self) -> u16 {
        match self {
            Self::MalformedRequest => 400,
            Self::WrongKey => 401,
            Self::UnknownPath | Self::UnknownModel | Self::UnknownService => 404,
            Self::KeyInProgress => 409,
            Self::KeyExpired => 410,
            Self::TooLarge => 413,
            Self::KeyReused => 422,
            Self::CustomerLimit => 429,
            Self::InternalFault => 500,
            Self::BrokenAnswer | Self::CrashesEndpoints => 502,
            Self::NoEndpoint
            | Self::Overloaded
            | Self::NodeDraining
            | Self::NotCurrent
            | Self::ClaimUnavailable => 503,
            Self::DeadlinePassed => 504,
        }
    }

    /// Returns what the client can do about it.
    pub fn remedy(self) -> &'static str {
        match self {
            Self::MalformedRequest => "send well-formed HTTP/1.1 with a JSON body",
            Self::TooLarge => "shorten the request, or ask the operator to raise the limit",
            Self::WrongKey => "send your key or the join secret as 'Authorization: Bearer KEY'",
            Self::UnknownPath => "see the interface page for the paths this node serves",
            Self::UnknownModel => "name a model that the operator declared for this customer",
            Self::UnknownService => "name a service that the operator declared for this customer",
            Self::NoEndpoint => "retry after the time given; the operator sees which are missing",
            Self::Overloaded => "retry after the time given",
            Self::CustomerLimit => "retry after the time given, or ask for a higher limit",
            Self::NodeDraining => "send the request to one of the addresses given",
            Self::NotCurrent => "send the request to one of the addresses given",
            Self::ClaimUnavailable => "retry with the same idempotency key after the time given",
            Self::KeyReused => "use a new idempotency key for a new request",
            Self::KeyInProgress => "ask again with the same key after the time given",
            Self::KeyExpired => "look up whether the request ran, then use a new idempotency key",
            Self::BrokenAnswer => "retry if the request is idempotent, else look up whether it ran",
            Self::CrashesEndpoints => "don't send it again; send its id to the operator",
            Self::DeadlinePassed => "allow a longer deadline, or look up whether the request ran",
            Self::InternalFault => "send the request id to the operator",
        }
    }
}
