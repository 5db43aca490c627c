use std::{
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    TimelineError,
    timeline_error::UnknownKindSnafu, //
};

/// The kind of a [`FleetEvent`](crate::FleetEvent).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The node's process started.
    ProcessStarted,
    /// The node's process is shutting down.
    ProcessStopping,
    /// A node joined or came back.
    NodeUp,
    /// A node stopped responding and is suspected to have failed.
    NodeSuspected,
    /// A node is considered failed.
    NodeDown,
    /// A node announced that it is shutting down.
    NodeLeaving,
    /// The node, a state member, started an election.
    ElectionStarted,
    /// The node was elected leader of the state members.
    LeaderElected,
    /// The node is no longer leader.
    LeaderDeposed,
    /// The node was granted the lease under which it may send orders to engines.
    LeaseGranted,
    /// The node's lease for sending orders to engines ended.
    LeaseEnded,
    /// A configuration change is durable on a quorum.
    ChangeAccepted,
    /// A configuration change was refused.
    ChangeRefused,
    /// The node started to apply a revision of the configuration.
    ChangeInForce,
    /// The node cannot confirm that its configuration is current, and admits no requests.
    CurrencyLost,
    /// The node confirmed again that its configuration is current.
    CurrencyRegained,
    /// The set of state members changed.
    MembersChanged,
    /// An endpoint announced itself for the first time, or again after it had left.
    EndpointJoined,
    /// An endpoint announced that it will stop.
    EndpointLeaving,
    /// An endpoint stopped or failed.
    EndpointLeft,
    /// An endpoint is flapping and temporarily receives no new requests.
    EndpointDamped,
    /// An endpoint's home moved to another node.
    HomeChanged,
    /// An order was sent to an endpoint.
    OrderSent,
    /// An endpoint responded to an order.
    OrderAnswered,
    /// An operator started to drain an endpoint or node, which receives no new requests.
    DrainStarted,
    /// The last request on a draining endpoint or node ended.
    DrainFinished,
    /// A request was admitted.
    RequestAdmitted,
    /// A request was refused before it ran.
    RequestRefused,
    /// The first byte of a request is about to be sent to an endpoint.
    RequestDispatched,
    /// An attempt failed and the request is retried on another endpoint.
    RequestRetried,
    /// A request ended.
    RequestFinished,
    /// A chat was routed to another endpoint than its previous request.
    ChatMoved,
    /// The claim of a non-idempotent request was stored durably.
    ClaimMade,
    /// The outcome of a claimed request was stored.
    ClaimFinished,
}

impl EventKind {
    /// All kinds, in order of declaration.
    pub const ALL: [Self; 34] = [
        Self::ProcessStarted,
        Self::ProcessStopping,
        Self::NodeUp,
        Self::NodeSuspected,
        Self::NodeDown,
        Self::NodeLeaving,
        Self::ElectionStarted,
        Self::LeaderElected,
        Self::LeaderDeposed,
        Self::LeaseGranted,
        Self::LeaseEnded,
        Self::ChangeAccepted,
        Self::ChangeRefused,
        Self::ChangeInForce,
        Self::CurrencyLost,
        Self::CurrencyRegained,
        Self::MembersChanged,
        Self::EndpointJoined,
        Self::EndpointLeaving,
        Self::EndpointLeft,
        Self::EndpointDamped,
        Self::HomeChanged,
        Self::OrderSent,
        Self::OrderAnswered,
        Self::DrainStarted,
        Self::DrainFinished,
        Self::RequestAdmitted,
        Self::RequestRefused,
        Self::RequestDispatched,
        Self::RequestRetried,
        Self::RequestFinished,
        Self::ChatMoved,
        Self::ClaimMade,
        Self::ClaimFinished,
    ];

    /// Returns whether events of this kind occur with every request, and so in large numbers.
    pub fn is_traffic(self) -> bool {
        self >= Self::RequestAdmitted
    }

    /// Returns whether events of this kind point to a problem and are highlighted for operators.
    pub fn is_alarming(self) -> bool {
        matches!(
            self,
            Self::NodeSuspected
                | Self::NodeDown
                | Self::LeaderDeposed
                | Self::ChangeRefused
                | Self::CurrencyLost
                | Self::EndpointLeft
                | Self::EndpointDamped
                | Self::RequestRefused
                | Self::RequestRetried
        )
    }

    /// Returns the name used in every output form.
    pub fn name(self) -> &'static str {
        match self {
            Self::ProcessStarted => "process_started",
            Self::ProcessStopping => "process_stopping",
            Self::NodeUp => "node_up",
            Self::NodeSuspected => "node_suspected",
            Self::NodeDown => "node_down",
            Self::NodeLeaving => "node_leaving",
            Self::ElectionStarted => "election_started",
            Self::LeaderElected => "leader_elected",
            Self::LeaderDeposed => "leader_deposed",
            Self::LeaseGranted => "lease_granted",
            Self::LeaseEnded => "lease_ended",
            Self::ChangeAccepted => "change_accepted",
            Self::ChangeRefused => "change_refused",
            Self::ChangeInForce => "change_in_force",
            Self::CurrencyLost => "currency_lost",
            Self::CurrencyRegained => "currency_regained",
            Self::MembersChanged => "members_changed",
            Self::EndpointJoined => "endpoint_joined",
            Self::EndpointLeaving => "endpoint_leaving",
            Self::EndpointLeft => "endpoint_left",
            Self::EndpointDamped => "endpoint_damped",
            Self::HomeChanged => "home_changed",
            Self::OrderSent => "order_sent",
            Self::OrderAnswered => "order_answered",
            Self::DrainStarted => "drain_started",
            Self::DrainFinished => "drain_finished",
            Self::RequestAdmitted => "request_admitted",
            Self::RequestRefused => "request_refused",
            Self::RequestDispatched => "request_dispatched",
            Self::RequestRetried => "request_retried",
            Self::RequestFinished => "request_finished",
            Self::ChatMoved => "chat_moved",
            Self::ClaimMade => "claim_made",
            Self::ClaimFinished => "claim_finished",
        }
    }
}

impl fmt::Display for EventKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(self.name())
    }
}

impl FromStr for EventKind {
    type Err = TimelineError;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        if let Some(kind) = Self::ALL.into_iter().find(|kind| kind.name() == name) {
            return Ok(kind);
        }
        let known: Vec<&str> = Self::ALL.into_iter().map(Self::name).collect();
        let known = known.join(", ");
        UnknownKindSnafu { name, known }.fail()
    }
}
